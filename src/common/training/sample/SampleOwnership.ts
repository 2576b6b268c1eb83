import { hashId } from '../../hash/hashId.js'
import type { IHash } from '../../hash/IHash.js'
import { Disposable } from '../../kernel/Disposable.js'
import { Emitter } from '../../kernel/Emitter.js'
import type { IPeerTable } from '../../peer/IPeerTable.js'
import { peerTableId } from '../../peer/peerTableId.js'
import type { ISampleOwnership } from './ISampleOwnership.js'
import type { SampleTask } from './SampleTask.js'
import { rendezvousOwner } from '../../hash/rendezvousOwner.js'

// Holds about 14 steps of 3584 samples; a full cache is cleared, which avoids evicting the samples of each
// acknowledged group.
const MAX_CACHED_SAMPLES = 50_000

/** Assigns samples to live entries by rendezvous hashing. */
export class SampleOwnership extends Disposable implements ISampleOwnership {
  private readonly _onChange = this._register(new Emitter<void>())
  private readonly _ownershipCache = new Map<string, boolean>()
  readonly onChange = this._onChange.event

  constructor (@peerTableId private readonly _peers: IPeerTable, @hashId private readonly _hash: IHash) {
    super()
    this._register(_peers.onChange(() => {
      this._ownershipCache.clear()
      this._onChange.fire()
    }))
  }

  isOwned (task: SampleTask): boolean {
    const key = `${task.organisation}/${task.trainer}/${task.step}/${task.spec.group}/${task.index}`
    const cached = this._ownershipCache.get(key)
    if (cached !== undefined) return cached
    const isOwned = rendezvousOwner(this._hash, this._peers.liveIds(), key) === this._peers.selfId
    if (this._ownershipCache.size >= MAX_CACHED_SAMPLES) this._ownershipCache.clear()
    this._ownershipCache.set(key, isOwned)
    return isOwned
  }
}

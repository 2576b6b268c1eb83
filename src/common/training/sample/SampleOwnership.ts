import { hashId } from '../../hash/hashId.js'
import type { IHash } from '../../hash/IHash.js'
import { Disposable } from '../../kernel/Disposable.js'
import { Emitter } from '../../kernel/Emitter.js'
import type { IPeerTable } from '../../peer/IPeerTable.js'
import { peerTableId } from '../../peer/peerTableId.js'
import type { ISampleOwnership } from './ISampleOwnership.js'
import type { SampleTask } from './SampleTask.js'
import { rendezvousOwner } from '../../hash/rendezvousOwner.js'

// About 14 steps of 3584 samples; the cache is emptied rather than tracked by group.
const CACHE_LIMIT = 50_000

/** Ownership by rendezvous hash over the live entries. */
export class SampleOwnership extends Disposable implements ISampleOwnership {
  private readonly _change = this._register(new Emitter<void>())
  private readonly _owned = new Map<string, boolean>()
  readonly onChange = this._change.event

  constructor (@peerTableId private readonly _peers: IPeerTable, @hashId private readonly _hash: IHash) {
    super()
    this._register(_peers.onChange(() => {
      this._owned.clear()
      this._change.fire()
    }))
  }

  isOwned (task: SampleTask): boolean {
    const key = `${task.organisation}/${task.trainer}/${task.step}/${task.spec.group}/${task.index}`
    const known = this._owned.get(key)
    if (known !== undefined) return known
    const isOwned = rendezvousOwner(this._hash, this._peers.liveIds(), key) === this._peers.selfId
    if (this._owned.size >= CACHE_LIMIT) this._owned.clear()
    this._owned.set(key, isOwned)
    return isOwned
  }
}

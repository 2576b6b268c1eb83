import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import { loggerId } from '../metrics/loggerId.js'
import type { Member } from '../schema/Member.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import { createIncarnation } from './createIncarnation.js'
import type { IPeerRegistry } from './IPeerRegistry.js'
import type { Peer } from './Peer.js'
import type { PeerHeartbeat } from './PeerHeartbeat.js'

interface PeerRecord extends PeerHeartbeat {
  failureDomain: string
  heardAtMs: number
  /** Source of the entry's last own datagram. */
  address?: string
}

const CHECKS_PER_TIMEOUT = 10
// A heartbeat passed on for the whole timeout at each hop would keep a dead entry alive for several timeouts.
const FRESH_PART_OF_TIMEOUT = 1 / 3
// After this many timeouts the heartbeats of an entry are forgotten, so that a replaced host whose
// clock is behind, and whose incarnation is therefore lower, is heard again.
const FORGET_TIMEOUTS = 10

/** Other entries by heartbeat and membership list; aliveness is judged on the monotonic clock. */
export class PeerTable extends Disposable implements IPeerRegistry {
  private readonly _records = new Map<string, PeerRecord>()
  private readonly _onChange = this._register(new Emitter<void>())
  private _members = new Map<string, Member>()
  private _liveKey: string
  readonly onChange = this._onChange.event
  readonly selfId: string
  readonly incarnation = createIncarnation()
  isDraining = false
  hasMembershipList = false

  constructor (
    @entrySettingsId private readonly _settings: EntrySettings,
    @loggerId private readonly _logger: ILogger
  ) {
    super()
    this.selfId = _settings.id
    this._liveKey = this.liveIds().join()
  }

  start (): void {
    const timer = setInterval(() => this._check(), this._settings.heartbeatTimeoutMs / CHECKS_PER_TIMEOUT)
    this._register(toDisposable(() => clearInterval(timer)))
  }

  startDraining (): void {
    this.isDraining = true
    this._check()
  }

  updateMembers (members: Member[]): void {
    this._members = new Map(members.filter(member => member.role === 'entry' && member.id !== this.selfId).map(member => [member.id, member]))
    this.hasMembershipList = true
    this._check()
  }

  recordHeartbeat (heartbeat: PeerHeartbeat, source?: { address: string, failureDomain: string }): void {
    if (heartbeat.id === this.selfId) return
    const known = this._records.get(heartbeat.id)
    if (known !== undefined && !isNewer(heartbeat, known)) {
      if (source !== undefined && heartbeat.incarnation === known.incarnation) Object.assign(known, source)
      return
    }
    this._records.set(heartbeat.id, {
      ...heartbeat,
      heardAtMs: performance.now(),
      failureDomain: source?.failureDomain ?? known?.failureDomain ?? '',
      address: source?.address ?? known?.address
    })
    this._check()
  }

  freshHeartbeats (): PeerHeartbeat[] {
    const earliest = performance.now() - this._settings.heartbeatTimeoutMs * FRESH_PART_OF_TIMEOUT
    return [...this._records.values()].filter(record => record.heardAtMs >= earliest).sort((a, b) => b.heardAtMs - a.heardAtMs)
  }

  peerAddresses (): string[] {
    const addresses = new Set<string>()
    for (const member of this._members.values()) {
      if (member.peer_address !== undefined) addresses.add(member.peer_address)
    }
    for (const record of this._records.values()) {
      if (record.address !== undefined && this._isAlive(record) && !this._members.has(record.id)) addresses.add(record.address)
    }
    return [...addresses]
  }

  rpcAddresses (): Map<string, string> {
    const addresses = new Map<string, string>()
    for (const member of this._members.values()) {
      if (member.rpc_address !== undefined) addresses.set(member.id, member.rpc_address)
    }
    return addresses
  }

  liveIds (): string[] {
    const ids = this.all().filter(peer => peer.isAlive && !peer.isDraining).map(peer => peer.id)
    return (this.isDraining ? ids : [...ids, this.selfId]).sort()
  }

  all (): Peer[] {
    const ids = new Set([...this._records.keys(), ...this._members.keys()])
    return [...ids].map(id => this._toPeer(id))
  }

  private _toPeer (id: string): Peer {
    const record = this._records.get(id)
    const member = this._members.get(id)
    return {
      id,
      incarnation: record?.incarnation ?? '',
      failureDomain: member?.failure_domain ?? record?.failureDomain ?? '',
      isAlive: record !== undefined && this._isAlive(record),
      isDraining: record?.isDraining === true || member?.state === 'leaving'
    }
  }

  private _isAlive (record: PeerRecord): boolean {
    return performance.now() - record.heardAtMs < this._settings.heartbeatTimeoutMs
  }

  private _check (): void {
    const forgetBefore = performance.now() - this._settings.heartbeatTimeoutMs * FORGET_TIMEOUTS
    for (const record of this._records.values()) {
      if (record.heardAtMs < forgetBefore) this._records.delete(record.id)
    }
    const live = this.liveIds().join()
    if (live === this._liveKey) return
    this._liveKey = live
    this._logger.info({ live }, 'live_entries_changed')
    this._onChange.fire()
  }
}

function isNewer (heartbeat: PeerHeartbeat, known: PeerHeartbeat): boolean {
  if (heartbeat.incarnation !== known.incarnation) return heartbeat.incarnation > known.incarnation
  return heartbeat.sequence > known.sequence
}

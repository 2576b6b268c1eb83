import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import { startInterval } from '../kernel/startInterval.js'
import type { ILogger } from '../metrics/ILogger.js'
import { loggerId } from '../metrics/loggerId.js'
import type { Member } from '../schema/Member.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import { createIncarnation } from './createIncarnation.js'
import type { IPeerRegistry } from './IPeerRegistry.js'
import type { Peer } from './Peer.js'
import type { PeerHeartbeat } from './PeerHeartbeat.js'

interface ReceivedHeartbeat extends PeerHeartbeat {
  failureDomain: string
  receivedAtMs: number
  /** Source address of the last datagram received from the entry itself. */
  address?: string
}

const CHECKS_PER_TIMEOUT = 10
// Heartbeats relayed up to the full timeout at each hop would keep a dead entry alive for several timeouts.
const MAX_RELAY_AGE_TIMEOUTS = 1 / 3
// Heartbeats are deleted after this many timeouts, so that those of a replaced host whose clock is behind, and
// whose incarnation is therefore lower, are accepted again.
const HEARTBEAT_RETENTION_TIMEOUTS = 10

/** Other entries by heartbeat and membership list. Liveness is determined by the monotonic clock. */
export class PeerTable extends Disposable implements IPeerRegistry {
  private readonly _heartbeats = new Map<string, ReceivedHeartbeat>()
  private readonly _onChange = this._register(new Emitter<void>())
  private _members = new Map<string, Member>()
  private _liveIdsKey: string
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
    this._liveIdsKey = this.liveIds().join()
  }

  start (): void {
    this._register(startInterval(() => this._updateLiveIds(), this._settings.heartbeatTimeoutMs / CHECKS_PER_TIMEOUT))
  }

  startDraining (): void {
    this.isDraining = true
    this._updateLiveIds()
  }

  updateMembers (members: Member[]): void {
    this._members = new Map(members.filter(member => member.role === 'entry' && member.id !== this.selfId).map(member => [member.id, member]))
    this.hasMembershipList = true
    this._updateLiveIds()
  }

  recordHeartbeat (heartbeat: PeerHeartbeat, source?: { address: string, failureDomain: string }): void {
    if (heartbeat.id === this.selfId) return
    const known = this._heartbeats.get(heartbeat.id)
    if (known !== undefined && !isNewer(heartbeat, known)) {
      if (source !== undefined && heartbeat.incarnation === known.incarnation) Object.assign(known, source)
      return
    }
    this._heartbeats.set(heartbeat.id, {
      ...heartbeat,
      receivedAtMs: performance.now(),
      failureDomain: source?.failureDomain ?? known?.failureDomain ?? '',
      address: source?.address ?? known?.address
    })
    this._updateLiveIds()
  }

  freshHeartbeats (): PeerHeartbeat[] {
    const earliestMs = performance.now() - this._settings.heartbeatTimeoutMs * MAX_RELAY_AGE_TIMEOUTS
    return [...this._heartbeats.values()].filter(heartbeat => heartbeat.receivedAtMs >= earliestMs).sort((a, b) => b.receivedAtMs - a.receivedAtMs)
  }

  peerAddresses (): string[] {
    const addresses = new Set<string>()
    for (const member of this._members.values()) {
      if (member.peer_address !== undefined) addresses.add(member.peer_address)
    }
    for (const heartbeat of this._heartbeats.values()) {
      if (heartbeat.address !== undefined && this._isAlive(heartbeat) && !this._members.has(heartbeat.id)) addresses.add(heartbeat.address)
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
    const ids = new Set([...this._heartbeats.keys(), ...this._members.keys()])
    return [...ids].map(id => this._toPeer(id))
  }

  private _toPeer (id: string): Peer {
    const heartbeat = this._heartbeats.get(id)
    const member = this._members.get(id)
    return {
      id,
      incarnation: heartbeat?.incarnation ?? '',
      failureDomain: member?.failure_domain ?? heartbeat?.failureDomain ?? '',
      isAlive: heartbeat !== undefined && this._isAlive(heartbeat),
      isDraining: heartbeat?.isDraining === true || member?.state === 'leaving'
    }
  }

  private _isAlive (heartbeat: ReceivedHeartbeat): boolean {
    return performance.now() - heartbeat.receivedAtMs < this._settings.heartbeatTimeoutMs
  }

  private _updateLiveIds (): void {
    const expiryMs = performance.now() - this._settings.heartbeatTimeoutMs * HEARTBEAT_RETENTION_TIMEOUTS
    for (const heartbeat of this._heartbeats.values()) {
      if (heartbeat.receivedAtMs < expiryMs) this._heartbeats.delete(heartbeat.id)
    }
    const live = this.liveIds().join()
    if (live === this._liveIdsKey) return
    this._liveIdsKey = live
    this._logger.info({ live }, 'live_entries_changed')
    this._onChange.fire()
  }
}

function isNewer (heartbeat: PeerHeartbeat, known: PeerHeartbeat): boolean {
  if (heartbeat.incarnation !== known.incarnation) return heartbeat.incarnation > known.incarnation
  return heartbeat.sequence > known.sequence
}

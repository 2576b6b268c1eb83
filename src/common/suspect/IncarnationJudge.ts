import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { IFleet } from '../fleet/IFleet.js'
import type { Incarnation } from './Incarnation.js'
import type { IncarnationState } from './IncarnationState.js'

/** A record can arrive this much later than an upstream wrote it. */
const HEARTBEAT_LAG_MS = 500
/** An upstream is alive if a heartbeat arrives this many intervals after a run broke, since it was written after that. */
const PROOF_INTERVALS = 2
/** An upstream without a heartbeat for this many intervals, while others write theirs, has ended or is cut off. */
const SILENCE_INTERVALS = 2.2

/** Tells from the upstream list and from responses whether incarnations of upstreams have ended. */
export class IncarnationJudge {
  private readonly _addressOwners = new Map<string, FleetUpstream>()
  private _newestHeartbeatAtMs = 0
  private _lastPauseEndMs = Number.NEGATIVE_INFINITY
  private _freshSinceMs = Number.POSITIVE_INFINITY

  /**
   * `_heartbeatMs` is the interval at which upstreams write their records. `_readableSinceMs` returns since when the
   * upstream list has been readable without a failure.
   */
  constructor (private readonly _fleet: IFleet, private readonly _heartbeatMs: number, private readonly _readableSinceMs: () => number) {}

  /** This process has been paused until now, so that heartbeats which arrive now may be old. */
  recordPause (): void {
    this._lastPauseEndMs = performance.now()
  }

  /** Takes up the present state of the upstream list; call it before a series of `judge`. */
  refresh (): void {
    this._freshSinceMs = Math.max(this._readableSinceMs(), this._lastPauseEndMs)
    this._addressOwners.clear()
    this._newestHeartbeatAtMs = 0
    for (const upstream of this._fleet.all()) {
      const { address, startedAtMs } = upstream.member
      const owner = this._addressOwners.get(address)
      if (owner === undefined || owner.member.startedAtMs < startedAtMs) this._addressOwners.set(address, upstream)
      this._newestHeartbeatAtMs = Math.max(this._newestHeartbeatAtMs, upstream.heartbeatAtMs)
    }
  }

  /** `performance.now()` since which the upstream list is known without a gap; infinity while it cannot be read. */
  get freshSinceMs (): number {
    return this._freshSinceMs
  }

  /** State of an incarnation at which a run ended without a response at `sinceMs`, in terms of `performance.now()`. */
  judge ({ upstreamId, startedAtMs }: Incarnation, sinceMs: number): IncarnationState {
    const upstream = this._fleet.find(upstreamId)
    if (upstream === undefined || upstream.member.startedAtMs !== startedAtMs) return 'ended'
    if (upstream.hasRespondedSince(sinceMs)) return 'alive'
    const proofDelayMs = PROOF_INTERVALS * this._heartbeatMs + HEARTBEAT_LAG_MS
    if (upstream.heartbeatAtMs > Math.max(sinceMs, this._freshSinceMs) + proofDelayMs) return 'alive'
    if (this._addressOwners.get(upstream.member.address) !== upstream) return 'ended'
    const silentMs = this._newestHeartbeatAtMs - upstream.heartbeatAtMs
    return silentMs > SILENCE_INTERVALS * this._heartbeatMs ? 'ended' : 'unknown'
  }
}

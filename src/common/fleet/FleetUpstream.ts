import { Emitter } from '../kernel/Emitter.js'
import type { FleetMember } from './FleetMember.js'
import type { LoadReading } from './LoadReading.js'
import type { LoadAverages } from './selection/LoadAverages.js'
import { updateLoadAverages } from './selection/updateLoadAverages.js'
import type { UpstreamKnowledge } from './selection/UpstreamKnowledge.js'

/** Weight of a new observation in the moving average of response times. */
const RESPONSE_TIME_WEIGHT = 0.3
/** Time constant of the average of event intervals. Other work on the host slows an engine for about 0.6 s at a time. */
const EVENT_INTERVAL_TIME_CONSTANT_MS = 1200
const MAX_EVENT_INTERVAL_WEIGHT = 0.3
/** Longer intervals relative to the average are outliers. */
const MAX_EVENT_INTERVAL_FACTOR = 8
const MIN_EXCLUSION_MS = 150
const MAX_EXCLUSION_MS = 3000

/** One incarnation of an upstream, with the load, latency and failures that this process has observed. */
export class FleetUpstream {
  /** Requests of this process in flight at the upstream. */
  outstanding = 0
  /** Moving average of the response time, or of the event interval for engines; undefined before the first. */
  averageMs?: number
  /** `performance.now()` at which the upstream list last named this incarnation. */
  heartbeatAtMs = 0
  private _lastRespondedSentAtMs = Number.NEGATIVE_INFINITY
  private _load?: LoadReading & { atMs: number }
  private _loadAverages: LoadAverages = { total: 0, own: 0 }
  private _consecutiveFailures = 0
  private _excludedUntilMs = 0
  private _versions = new Map<string, number>()
  private _hasSaidLeaving = false
  private readonly _onLeaving = new Emitter<void>()
  /** Fires when the upstream has said in a response that it leaves. */
  readonly onLeaving = this._onLeaving.event

  /** `now` is the monotonic clock, in milliseconds. */
  constructor (public member: FleetMember, private readonly _now: () => number = () => performance.now()) {
    this.update(member)
  }

  /** Versions never decrease within one incarnation, so a late record does not replace one from a newer response. */
  update (member: FleetMember): void {
    this.member = member
    this.heartbeatAtMs = this._now()
    for (const [model, version] of member.versions) this.recordVersion(model, version)
  }

  /** Whether the upstream stops soon and must get no further requests, by its record or its own responses. */
  get isLeaving (): boolean {
    return this.member.isDraining || this._hasSaidLeaving
  }

  /** Records that the upstream has said in a response that it leaves. Its record may never say so. */
  recordLeaving (): void {
    if (this._hasSaidLeaving) return
    this._hasSaidLeaving = true
    this._onLeaving.fire()
  }

  recordVersion (model: string, version: number): void {
    this._versions.set(model, Math.max(version, this._versions.get(model) ?? 0))
  }

  /** Newest known weight version of a model; 0 if none is loaded. */
  versionOf (model: string): number {
    return this._versions.get(model) ?? 0
  }

  /** Call it after `outstanding` no longer contains the request whose response had the reading. */
  recordLoad (load: LoadReading, atMs = this._now()): void {
    this._load = { ...load, atMs }
    this._loadAverages = updateLoadAverages(this._loadAverages, load, this.outstanding)
  }

  /** Records that this incarnation has responded to a request that was sent at `sentAtMs`, in terms of `performance.now()`. */
  recordResponse (sentAtMs: number): void {
    this._lastRespondedSentAtMs = Math.max(this._lastRespondedSentAtMs, sentAtMs)
  }

  /** Whether this incarnation has responded to a request that was sent after `atMs`. */
  hasRespondedSince (atMs: number): boolean {
    return this._lastRespondedSentAtMs > atMs
  }

  recordResponseTime (durationMs: number): void {
    this.recordSuccess()
    this.averageMs = this.averageMs === undefined ? durationMs : this.averageMs + RESPONSE_TIME_WEIGHT * (durationMs - this.averageMs)
  }

  recordSuccess (): void {
    this._consecutiveFailures = 0
    this._excludedUntilMs = 0
  }

  /** Adds the event interval of one stream over a window. All streams in flight together weigh no more than one. */
  recordEventInterval (intervalMs: number, windowMs: number): void {
    const averageMs = this.averageMs
    // Intervals far above the average are caused by weight loads and interruptions, not by the speed of generation.
    if (averageMs !== undefined && intervalMs > MAX_EVENT_INTERVAL_FACTOR * averageMs) return
    const weight = Math.min(MAX_EVENT_INTERVAL_WEIGHT, windowMs / (EVENT_INTERVAL_TIME_CONSTANT_MS * Math.max(1, this.outstanding)))
    this.averageMs = averageMs === undefined ? intervalMs : averageMs + weight * (intervalMs - averageMs)
  }

  /** Excludes the upstream from selection for a time that doubles with each consecutive failure. */
  recordFailure (): void {
    // Several requests that fail at the same moment count as one failure.
    if (this.isExcluded) return
    this._excludedUntilMs = this._now() + Math.min(MAX_EXCLUSION_MS, MIN_EXCLUSION_MS * 2 ** this._consecutiveFailures)
    this._consecutiveFailures += 1
  }

  get consecutiveFailures (): number {
    return this._consecutiveFailures
  }

  /** Whether the upstream is temporarily excluded from selection. */
  get isExcluded (): boolean {
    return this._now() < this._excludedUntilMs
  }

  /** What the selection of an upstream uses, in terms of this object's clock. */
  get knowledge (): UpstreamKnowledge {
    return {
      slots: this.member.slots,
      outstanding: this.outstanding,
      averageMs: this.averageMs,
      load: this._load,
      loadAverages: this._loadAverages,
      excludedUntilMs: this._excludedUntilMs
    }
  }
}

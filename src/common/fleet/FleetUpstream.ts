import type { FleetMember } from './FleetMember.js'
import type { LoadReading } from './LoadReading.js'

/** Weight of a new observation in the average of answer times. */
const LATENCY_WEIGHT = 0.3
/** Time in which the pace of an engine follows its streams; neighbours slow it for about 0.6 s at a time. */
const PACE_TIME_CONSTANT_MS = 1200
const MAX_PACE_WEIGHT = 0.3
const MAX_PACE_FACTOR = 8
const FIRST_PENALTY_MS = 150
const MAX_PENALTY_MS = 3000
/** A report says little about an upstream after this time. */
const LOAD_MAX_AGE_MS = 1500
/** Age beyond which a slowness reading, which changes many times a second, is halved in effect. */
const SLOWNESS_MAX_AGE_MS = 300

/** One life of one upstream, with what this process has seen of it. */
export class FleetUpstream {
  outstanding = 0
  /** Average time of an answer, or of an event for engines; undefined before the first. */
  averageMs?: number
  private _load?: LoadReading & { atMs: number }
  private _failures = 0
  private _avoidUntilMs = 0
  private _versions = new Map<string, number>()

  constructor (public member: FleetMember) {
    this.update(member)
  }

  /** Versions only grow within one life, so that a late list entry does not hide a newer answer. */
  update (member: FleetMember): void {
    this.member = member
    for (const [model, version] of member.versions) this.recordVersion(model, version)
  }

  recordVersion (model: string, version: number): void {
    this._versions.set(model, Math.max(version, this._versions.get(model) ?? 0))
  }

  versionOf (model: string): number {
    return this._versions.get(model) ?? 0
  }

  recordLoad (load: LoadReading): void {
    this._load = { ...load, atMs: performance.now() }
  }

  recordResponseTime (durationMs: number): void {
    this.recordSuccess()
    this.averageMs = this.averageMs === undefined ? durationMs : this.averageMs + LATENCY_WEIGHT * (durationMs - this.averageMs)
  }

  recordSuccess (): void {
    this._failures = 0
    this._avoidUntilMs = 0
  }

  /** Notes the time that one stream took for each event in a window. Many streams together count no more than one. */
  recordEventInterval (paceMs: number, windowMs: number): void {
    const known = this.averageMs
    // Pauses far beyond the usual come from loads and breaks, not from the pace.
    if (known !== undefined && paceMs > MAX_PACE_FACTOR * known) return
    const weight = Math.min(MAX_PACE_WEIGHT, windowMs / (PACE_TIME_CONSTANT_MS * Math.max(1, this.outstanding)))
    this.averageMs = known === undefined ? paceMs : known + weight * (paceMs - known)
  }

  /** Avoids this upstream for a time that doubles with each failure in a row. */
  recordFailure (): void {
    // Several requests that break at the same moment show one failure.
    if (this.isExcluded) return
    this._avoidUntilMs = performance.now() + Math.min(MAX_PENALTY_MS, FIRST_PENALTY_MS * 2 ** this._failures)
    this._failures += 1
  }

  get consecutiveFailures (): number {
    return this._failures
  }

  get isExcluded (): boolean {
    return performance.now() < this._avoidUntilMs
  }

  /** Requests that others have there, as far as a fresh report tells. */
  get outstandingFromOthers (): number {
    if (this._load === undefined || performance.now() - this._load.atMs > LOAD_MAX_AGE_MS) return 0
    return Math.max(0, this._load.running + this._load.waiting - this.outstanding)
  }

  get slowdownFactor (): number {
    if (this._load === undefined) return 1
    const isFresh = performance.now() - this._load.atMs <= SLOWNESS_MAX_AGE_MS
    return isFresh ? this._load.slowdownFactor : 1
  }
}

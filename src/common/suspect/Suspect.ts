import { formatIncarnation } from './formatIncarnation.js'
import type { Incarnation } from './Incarnation.js'
import type { SuspectedCrash } from './SuspectedCrash.js'

/** Number of crashes after which a request is rejected. */
const MAX_CRASHES = 3
/** Time since the last crash after which a rejected request may run once more, by the number of crashes beyond the limit. */
const TRIAL_DELAYS_MS = [5000, 20_000, 600_000]

/** A request under which upstreams have crashed since it last completed. */
export class Suspect {
  private readonly _crashes = new Map<string, SuspectedCrash>()
  private _lastActivityAtMs = Number.NEGATIVE_INFINITY
  private _hasTrial = false

  constructor (readonly fingerprint: string) {}

  /** Crashes that count, the earliest known first. */
  get crashes (): SuspectedCrash[] {
    return [...this._crashes.values()]
  }

  /** Number of crashes that count. */
  get crashCount (): number {
    return this._crashes.size
  }

  /** `performance.now()` of the latest crash or trial. */
  get lastActivityAtMs (): number {
    return this._lastActivityAtMs
  }

  /** Whether an entry has claimed a trial. */
  get hasTrial (): boolean {
    return this._hasTrial
  }

  /** The crash of an incarnation under this request, if it is known. */
  find (incarnation: Incarnation): SuspectedCrash | undefined {
    return this._crashes.get(formatIncarnation(incarnation))
  }

  /** Incarnation of an upstream that ended under a run sent at `sentAtMs`: a run that was sent after a crash reached the next one. */
  nextIncarnation (incarnation: Incarnation, sentAtMs: number): Incarnation {
    const known = this.find(incarnation)
    if (known === undefined || known.sinceMs > sentAtMs) return incarnation
    return this.nextIncarnation({ ...incarnation, restarts: incarnation.restarts + 1 }, sentAtMs)
  }

  /** Adds a crash of the time `atMs`, in terms of `performance.now()`, unless it is known. */
  add (crash: SuspectedCrash, atMs: number): void {
    const key = formatIncarnation(crash)
    if (this._crashes.has(key)) return
    this._crashes.set(key, crash)
    this.recordActivity(atMs)
  }

  /** Removes the crash of an incarnation that proved to be alive, or whose record was deleted. */
  remove (incarnation: Incarnation): void {
    this._crashes.delete(formatIncarnation(incarnation))
  }

  /** Records a crash or a sending at `atMs`, from which the time until the next trial counts. */
  recordActivity (atMs: number): void {
    this._lastActivityAtMs = Math.max(this._lastActivityAtMs, atMs)
  }

  /** Records that an entry has claimed a trial at `atMs`. */
  recordTrial (atMs: number): void {
    this._hasTrial = true
    this.recordActivity(atMs)
  }

  /** Whether another attempt may start while `running` are in progress; each of them may end in a crash. */
  mayStart (running: number): boolean {
    return this.crashCount + running < MAX_CRASHES
  }

  /** Whether the request may run as a trial only. */
  get isRejected (): boolean {
    return this.crashCount >= MAX_CRASHES
  }

  /** `performance.now()` from which a rejected request may run once more; infinite after the last trial has failed. */
  get trialAtMs (): number {
    const delayMs = TRIAL_DELAYS_MS[this.crashCount - MAX_CRASHES] ?? Number.POSITIVE_INFINITY
    return this._lastActivityAtMs + delayMs
  }
}

import type { IDisposable } from '../kernel/IDisposable.js'
import type { IUsageMeter } from './IUsageMeter.js'

/**
 * An attempt without a response for this time counts as running: upstreams decline at once, and a report is due before
 * the time limits of some routes end.
 */
const DECISION_MS = 2000

interface SentAttempt { atUnixMs: number, state: 'pending' | 'declined' | 'ran', timer?: NodeJS.Timeout, subscription?: IDisposable }

/** Counts a call once, at the time at which the first of its attempts that has run or may have run was sent. */
export class CallStart {
  private readonly _attempts: SentAttempt[] = []
  private _isRecorded = false

  constructor (private readonly _meter: IUsageMeter, private readonly _organisation: string) {}

  /** Records that an attempt is sent now. The returned function takes whether the attempt has run or may have run. */
  onSent (): (mayHaveRun: boolean) => void {
    const attempt: SentAttempt = { atUnixMs: Date.now(), state: 'pending' }
    this._attempts.push(attempt)
    attempt.timer = setTimeout(() => this._settle(attempt, true), DECISION_MS)
    attempt.subscription = this._meter.onStopping(() => this._settle(attempt, true))
    return mayHaveRun => this._settle(attempt, mayHaveRun)
  }

  private _settle (attempt: SentAttempt, mayHaveRun: boolean): void {
    clearTimeout(attempt.timer)
    attempt.subscription?.dispose()
    if (attempt.state !== 'pending') return
    attempt.state = mayHaveRun ? 'ran' : 'declined'
    if (this._isRecorded) return
    // While an earlier attempt is pending, it may turn out to be the first that ran.
    const first = this._attempts.find(({ state }) => state !== 'declined')
    if (first?.state !== 'ran') return
    this._isRecorded = true
    this._meter.recordStart(this._organisation, first.atUnixMs)
  }
}

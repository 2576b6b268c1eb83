import type { UsageClock } from './UsageClock.js'
import type { UsageSchedule } from './UsageSchedule.js'

/** Longer than a busy host delays a timer. */
const MAX_TICK_GAP_MS = 1000

/** Delays the closing of windows until entries had time to send what they could not send to the holder before. */
export class UsageOutages {
  private _lastTickAtMs = performance.now()
  /** Since when entries cannot send their counts to this one. */
  private _outageSinceMs?: number
  /** Entries had time to send what they have kept for this holder once this time has come. */
  private _mayCloseAtMs: number

  constructor (private readonly _schedule: UsageSchedule, private readonly _clock: UsageClock) {
    this._mayCloseAtMs = performance.now() + _schedule.gatherMs
  }

  /** Has to be called at each tick. `isAccepting`: whether entries can send their counts to this one. */
  observe (nowMs: number, isAccepting: boolean): void {
    // After a freeze, contributions that arrived meanwhile have not been processed yet.
    const isReachable = isAccepting && nowMs - this._lastTickAtMs <= MAX_TICK_GAP_MS
    this._outageSinceMs = isReachable ? undefined : this._outageSinceMs ?? this._lastTickAtMs
    const outageDelayMs = this._outageSinceMs === undefined ? 0 : this._schedule.gatherMsAfter(nowMs - this._outageSinceMs)
    const clockDelayMs = this._clock.isSettled() ? 0 : this._schedule.settleMs
    this._mayCloseAtMs = Math.max(this._mayCloseAtMs, nowMs + outageDelayMs, nowMs + clockDelayMs)
    this._lastTickAtMs = nowMs
  }

  /** Whether windows may be closed. */
  mayClose (): boolean {
    return performance.now() >= this._mayCloseAtMs
  }
}

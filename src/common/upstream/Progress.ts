/** Time over which the pace of a stream is measured; several chunks fall into it. */
const WINDOW_MS = 100

/** Pace of one stream in flight: its present time per unit, and that of the whole stream so far. */
export class Progress {
  private readonly _firstAtMs: number
  private _windowAtMs: number
  private _windowUnits = 0
  private _units = 0
  private _recentMs?: number

  /** Created with the first chunk, so that waiting and prefill do not count. */
  constructor (nowMs: number) {
    this._firstAtMs = nowMs
    this._windowAtMs = nowMs
  }

  add (units: number, nowMs: number): void {
    this._units += units
    this._windowUnits += units
    if (nowMs - this._windowAtMs >= WINDOW_MS && this._windowUnits > 0) {
      this._recentMs = (nowMs - this._windowAtMs) / this._windowUnits
      this._windowAtMs = nowMs
      this._windowUnits = 0
    }
  }

  /** Time per unit at present; a window that is overdue counts with the time that it has taken so far. */
  recentMs (nowMs: number): number | undefined {
    const windowMs = nowMs - this._windowAtMs
    if (windowMs < WINDOW_MS) return this._recentMs
    return Math.max(this._recentMs ?? 0, windowMs / (this._windowUnits + 1))
  }

  /** Mean time per unit of the whole stream; undefined before the second chunk. */
  meanMs (nowMs: number): number | undefined {
    return this._units > 0 ? (nowMs - this._firstAtMs) / this._units : undefined
  }
}

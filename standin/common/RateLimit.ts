// Part of a second's permits that may be used at once.
const BURST_SECONDS = 0.25

/** Token bucket over performance.now(); a rate of 0 means no limit. */
export class RateLimit {
  private _tokens: number
  private _filledAtMs = performance.now()

  constructor (private readonly _perSecond: number) {
    this._tokens = this._burst
  }

  /** Takes a permit; false when the rate is exceeded. */
  take (): boolean {
    if (this._perSecond === 0) return true
    const nowMs = performance.now()
    this._tokens = Math.min(this._burst, this._tokens + (nowMs - this._filledAtMs) / 1000 * this._perSecond)
    this._filledAtMs = nowMs
    if (this._tokens < 1) return false
    this._tokens--
    return true
  }

  private get _burst (): number {
    return Math.max(1, this._perSecond * BURST_SECONDS)
  }
}

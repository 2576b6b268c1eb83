// Burst size, as the time over which that many permits accrue.
const BURST_SECONDS = 0.25

/** Token-bucket rate limiter that uses `performance.now()` as its clock; a rate of 0 means no limit. */
export class RateLimiter {
  private _permits: number
  private _refilledAtMs = performance.now()

  constructor (private readonly _permitsPerSecond: number) {
    this._permits = this._burstPermits
  }

  /** Acquires a permit; false if the rate is exceeded. */
  tryAcquire (): boolean {
    if (this._permitsPerSecond === 0) return true
    const nowMs = performance.now()
    this._permits = Math.min(this._burstPermits, this._permits + (nowMs - this._refilledAtMs) / 1000 * this._permitsPerSecond)
    this._refilledAtMs = nowMs
    if (this._permits < 1) return false
    this._permits--
    return true
  }

  private get _burstPermits (): number {
    return Math.max(1, this._permitsPerSecond * BURST_SECONDS)
  }
}

const FIRST_DELAY_MS = 50
const MAX_DELAY_MS = 3000

/** Exponential back-off between attempts, with jitter so that entries do not retry at the same time. */
export class Backoff {
  private _delayMs = FIRST_DELAY_MS

  constructor (private readonly _maxDelayMs = MAX_DELAY_MS) {}

  /** Returns the delay before the next attempt and doubles the base delay, up to the maximum. */
  nextDelayMs (): number {
    const delayMs = this._delayMs * (0.5 + Math.random() / 2)
    this._delayMs = Math.min(this._delayMs * 2, this._maxDelayMs)
    return delayMs
  }

  /** Restores the initial delay after a successful attempt. */
  reset (): void {
    this._delayMs = FIRST_DELAY_MS
  }
}

const FIRST_DELAY_MS = 50
const MAX_DELAY_MS = 3000

/** Doubling delay between attempts, with jitter so that entries do not retry in step. */
export class Backoff {
  private _delayMs = FIRST_DELAY_MS

  /** Delay before the next attempt, in milliseconds. */
  nextDelayMs (): number {
    const delayMs = this._delayMs * (0.5 + Math.random() / 2)
    this._delayMs = Math.min(this._delayMs * 2, MAX_DELAY_MS)
    return delayMs
  }

  reset (): void {
    this._delayMs = FIRST_DELAY_MS
  }
}

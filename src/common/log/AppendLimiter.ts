/** Rate limit of an entry: keeps a minimum interval between its appends to any stream. */
export class AppendLimiter {
  private _nextAtMs = 0

  constructor (private readonly _intervalMs: number) {}

  /** Resolves when the next append may be sent. */
  take (): Promise<void> {
    const nowMs = performance.now()
    const sendAtMs = Math.max(nowMs, this._nextAtMs)
    this._nextAtMs = sendAtMs + this._intervalMs
    if (sendAtMs <= nowMs) return Promise.resolve()
    return new Promise(resolve => setTimeout(resolve, sendAtMs - nowMs))
  }
}

/** Rate limit of an entry: keeps a minimum interval between its appends to any stream. */
export class AppendLimiter {
  private _nextAtMs = 0

  constructor (private readonly _intervalMs: number) {}

  /** Resolves when the next append may be sent. */
  take (): Promise<void> {
    const nowMs = performance.now()
    const slotAtMs = Math.max(nowMs, this._nextAtMs)
    this._nextAtMs = slotAtMs + this._intervalMs
    if (slotAtMs <= nowMs) return Promise.resolve()
    return new Promise(resolve => setTimeout(resolve, slotAtMs - nowMs))
  }
}

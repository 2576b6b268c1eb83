/** Spaces the appends of an entry over all streams. */
export class AppendLimiter {
  private _nextAtMs = 0

  constructor (private readonly _intervalMs: number) {}

  /** Resolves when the next append may be sent. */
  take (): Promise<void> {
    const nowMs = performance.now()
    const slotMs = Math.max(nowMs, this._nextAtMs)
    this._nextAtMs = slotMs + this._intervalMs
    if (slotMs <= nowMs) return Promise.resolve()
    return new Promise(resolve => setTimeout(resolve, slotMs - nowMs))
  }
}

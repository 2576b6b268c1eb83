/** Time over which the pace is measured; several chunks fall into it. */
const WINDOW_MS = 100

/** Time per token of one stream over the last short time. */
export class StreamPace {
  private _firstAtMs?: number
  private _windowAtMs = 0
  private _tokens = 0

  constructor (private readonly _startedAtMs: number) {}

  /** Takes a chunk; returns the time per token when a window ends with it. */
  add (tokens: number, nowMs: number): number | undefined {
    if (this._firstAtMs === undefined) {
      this._firstAtMs = nowMs
      this._windowAtMs = nowMs
      return undefined
    }
    this._tokens += tokens
    const windowMs = nowMs - this._windowAtMs
    if (windowMs < WINDOW_MS || this._tokens === 0) return undefined
    const paceMs = windowMs / this._tokens
    this._windowAtMs = nowMs
    this._tokens = 0
    return paceMs
  }

  /** True when the stream has produced for longer than its wait and prefill took, which a move costs again. */
  hasEarnedMove (nowMs: number): boolean {
    return this._firstAtMs !== undefined && nowMs - this._firstAtMs >= this._firstAtMs - this._startedAtMs
  }
}

/** Time over which the pace is measured; several chunks fall into it. */
const WINDOW_MS = 100

/** Time per token of one stream over the last short time. */
export class TokenIntervalMeter {
  private _firstAtMs?: number
  private _windowAtMs = 0
  private _tokens = 0
  private _allTokens = 0

  constructor (private readonly _startedAtMs: number) {}

  /** Takes a chunk; returns the time per token when a window ends with it. */
  record (tokens: number, nowMs: number): number | undefined {
    if (this._firstAtMs === undefined) {
      this._firstAtMs = nowMs
      this._windowAtMs = nowMs
      return undefined
    }
    this._tokens += tokens
    this._allTokens += tokens
    const windowMs = nowMs - this._windowAtMs
    if (windowMs < WINDOW_MS || this._tokens === 0) return undefined
    const paceMs = windowMs / this._tokens
    this._windowAtMs = nowMs
    this._tokens = 0
    return paceMs
  }

  /** Time per token since the first chunk; undefined when there is no second one. */
  meanMs (nowMs: number): number | undefined {
    return this._firstAtMs === undefined || this._allTokens === 0 ? undefined : (nowMs - this._firstAtMs) / this._allTokens
  }

  /** True when the stream has produced for longer than its wait and prefill took, which a move costs again. */
  hasOutlastedStartup (nowMs: number): boolean {
    return this._firstAtMs !== undefined && nowMs - this._firstAtMs >= this._firstAtMs - this._startedAtMs
  }
}

/** Shortest time over which the time per token is measured; it spans several chunks. */
const WINDOW_MS = 100

/** Measures the time per token of one stream, per window and as a mean. */
export class TokenIntervalMeter {
  private _firstChunkAtMs?: number
  private _windowStartMs = 0
  private _windowTokens = 0
  private _totalTokens = 0

  constructor (private readonly _startedAtMs: number) {}

  /** Records a chunk; returns the time per token in milliseconds if a window ends with it. */
  record (tokenCount: number, nowMs: number): number | undefined {
    if (this._firstChunkAtMs === undefined) {
      this._firstChunkAtMs = nowMs
      this._windowStartMs = nowMs
      return undefined
    }
    this._windowTokens += tokenCount
    this._totalTokens += tokenCount
    const windowMs = nowMs - this._windowStartMs
    if (windowMs < WINDOW_MS || this._windowTokens === 0) return undefined
    const tokenIntervalMs = windowMs / this._windowTokens
    this._windowStartMs = nowMs
    this._windowTokens = 0
    return tokenIntervalMs
  }

  /** Mean time per token since the first chunk; undefined before the second chunk. */
  meanMs (nowMs: number): number | undefined {
    return this._firstChunkAtMs === undefined || this._totalTokens === 0 ? undefined : (nowMs - this._firstChunkAtMs) / this._totalTokens
  }

  /**
   * True if the stream has generated for longer than its first chunk took. A move would cost that
   * time, which is spent in the queue of the engine and in the prefill, once more.
   */
  hasOutlastedStartup (nowMs: number): boolean {
    return this._firstChunkAtMs !== undefined && nowMs - this._firstChunkAtMs >= this._firstChunkAtMs - this._startedAtMs
  }
}

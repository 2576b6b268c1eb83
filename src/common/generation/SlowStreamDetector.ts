import type { Upstream } from '../upstream/Upstream.js'
import type { IMovePolicy } from './IMovePolicy.js'
import { TokenIntervalMeter } from './TokenIntervalMeter.js'

/** Detects that a stream should move to another engine because its engine has become slow. */
export class SlowStreamDetector {
  private readonly _meter = new TokenIntervalMeter(performance.now())
  private _previousIntervalMs?: number
  private _hasMeasuredWindow = false

  constructor (
    private readonly _policy: IMovePolicy,
    private readonly _engine: Upstream,
    private readonly _excluded: ReadonlySet<string>
  ) {}

  /** Called when the stream is complete. If it was too short for a window, its mean is recorded as the engine's speed. */
  recordCompletion (): void {
    const tokenIntervalMs = this._hasMeasuredWindow ? undefined : this._meter.meanMs(performance.now())
    if (tokenIntervalMs !== undefined) this._policy.record(this._engine, tokenIntervalMs)
  }

  /** Called for each chunk with its number of tokens; returns true if the stream is to be moved. */
  recordChunk (tokenCount: number): boolean {
    const nowMs = performance.now()
    const tokenIntervalMs = this._meter.record(tokenCount, nowMs)
    if (tokenIntervalMs === undefined) return false
    this._hasMeasuredWindow = true
    this._policy.record(this._engine, tokenIntervalMs)
    // A weight update pauses an engine once, which slows one window. Two slow windows in a row indicate a slow engine.
    const sustainedMs = this._previousIntervalMs === undefined ? undefined : Math.min(this._previousIntervalMs, tokenIntervalMs)
    this._previousIntervalMs = tokenIntervalMs
    return sustainedMs !== undefined && this._meter.hasOutlastedStartup(nowMs) && this._policy.tryAcquire(this._engine, sustainedMs, this._excluded)
  }
}

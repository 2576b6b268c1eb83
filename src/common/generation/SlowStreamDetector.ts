import type { Upstream } from '../upstream/Upstream.js'
import type { IMovePolicy } from './IMovePolicy.js'
import { TokenIntervalMeter } from './TokenIntervalMeter.js'

/** Tells when a stream on an engine should be resumed elsewhere because the engine has become slow. */
export class SlowStreamDetector {
  private readonly _pace = new TokenIntervalMeter(performance.now())
  private _previousMs?: number
  private _hasWindow = false

  constructor (
    private readonly _policy: IMovePolicy,
    private readonly _engine: Upstream,
    private readonly _excluded: ReadonlySet<string>
  ) {}

  /** The stream is complete. One that was too short for a window still shows the engine's speed. */
  recordCompletion (): void {
    const paceMs = this._hasWindow ? undefined : this._pace.meanMs(performance.now())
    if (paceMs !== undefined) this._policy.record(this._engine, paceMs)
  }

  /** Takes the tokens of a chunk. */
  recordChunk (tokens: number): boolean {
    const nowMs = performance.now()
    const paceMs = this._pace.record(tokens, nowMs)
    if (paceMs === undefined) return false
    this._hasWindow = true
    this._policy.record(this._engine, paceMs)
    // A swap of weights pauses an engine once, which slows one window; two in a row show a slow engine.
    const bothMs = this._previousMs === undefined ? undefined : Math.min(this._previousMs, paceMs)
    this._previousMs = paceMs
    return bothMs !== undefined && this._pace.hasOutlastedStartup(nowMs) && this._policy.tryAcquire(this._engine, bothMs, this._excluded)
  }
}

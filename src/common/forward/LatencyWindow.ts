import { build, type Histogram } from 'hdr-histogram-js'

/** Half of the time that the window covers; older durations are dropped in halves. */
const HALF_WINDOW_MS = 15_000
/** Histogram counts per millisecond, so that durations below one are told apart. */
const COUNTS_PER_MS = 10
/** Durations below which a percentile says little. */
const MIN_DURATIONS = 20
/** Time for which a computed percentile is used again, because it walks through the whole histogram. */
const CACHE_MS = 100

/** Percentiles of recent durations. */
export class LatencyWindow {
  private _current = createHistogram()
  private _previous = createHistogram()
  private _rotatedAtMs = performance.now()
  private _cached?: { percentile: number, valueMs: number | undefined, atMs: number }

  record (durationMs: number): void {
    this._rotate()
    this._current.recordValue(Math.max(1, Math.round(durationMs * COUNTS_PER_MS)))
  }

  /** Milliseconds below which this percentage of recent durations lies; `undefined` when there are too few. */
  percentile (percentile: number): number | undefined {
    const nowMs = performance.now()
    if (this._cached === undefined || this._cached.percentile !== percentile || nowMs - this._cached.atMs >= CACHE_MS) {
      this._cached = { percentile, valueMs: this._compute(percentile), atMs: nowMs }
    }
    return this._cached.valueMs
  }

  private _compute (percentile: number): number | undefined {
    this._rotate()
    if (this._current.totalCount + this._previous.totalCount < MIN_DURATIONS) {
      return undefined
    }
    const merged = createHistogram()
    merged.add(this._previous)
    merged.add(this._current)
    return merged.getValueAtPercentile(percentile) / COUNTS_PER_MS
  }

  private _rotate (): void {
    const nowMs = performance.now()
    if (nowMs - this._rotatedAtMs < HALF_WINDOW_MS) {
      return
    }
    const isStale = nowMs - this._rotatedAtMs >= 2 * HALF_WINDOW_MS
    const retired = this._previous
    this._previous = this._current
    this._current = retired
    this._current.reset()
    if (isStale) {
      this._previous.reset()
    }
    this._rotatedAtMs = nowMs
  }
}

function createHistogram (): Histogram {
  return build({ numberOfSignificantValueDigits: 2, useWebAssembly: false })
}

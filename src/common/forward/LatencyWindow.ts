import { build, type Histogram } from 'hdr-histogram-js'

/** The window consists of two halves; the older one is discarded when a new one begins. */
const HALF_WINDOW_MS = 15_000
/** Histogram units per millisecond; resolves durations below 1 ms. */
const UNITS_PER_MS = 10
/** Fewest durations from which a percentile is computed. */
const MIN_DURATIONS = 20
/** Time for which a percentile is cached, because computing it scans the whole histogram. */
const CACHE_TTL_MS = 100

/** Percentiles of durations over a sliding window. */
export class LatencyWindow {
  private _current = createHistogram()
  private _previous = createHistogram()
  private _rotatedAtMs = performance.now()
  private _cached?: { percentile: number, valueMs: number | undefined, atMs: number }

  record (durationMs: number): void {
    this._rotate()
    this._current.recordValue(Math.max(1, Math.round(durationMs * UNITS_PER_MS)))
  }

  /** Percentile of the recent durations, in milliseconds; `undefined` if there are too few of them. */
  percentile (percentile: number): number | undefined {
    const nowMs = performance.now()
    if (this._cached === undefined || this._cached.percentile !== percentile || nowMs - this._cached.atMs >= CACHE_TTL_MS) {
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
    return merged.getValueAtPercentile(percentile) / UNITS_PER_MS
  }

  private _rotate (): void {
    const nowMs = performance.now()
    if (nowMs - this._rotatedAtMs < HALF_WINDOW_MS) {
      return
    }
    const isStale = nowMs - this._rotatedAtMs >= 2 * HALF_WINDOW_MS
    const oldest = this._previous
    this._previous = this._current
    this._current = oldest
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

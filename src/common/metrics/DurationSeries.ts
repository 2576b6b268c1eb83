import { build, type Histogram } from 'hdr-histogram-js'

// Microseconds keep sub-millisecond durations apart.
const UNITS_PER_MS = 1000
const HIGHEST_UNITS = 86_400_000 * UNITS_PER_MS
// Two digits bound the relative error at 1% and the memory of a histogram at about 14 KB.
const SIGNIFICANT_DIGITS = 2

/** Durations of one label set over the last full interval and the current one. */
export class DurationSeries {
  private _previous = buildHistogram()
  private _current = buildHistogram()
  total = 0
  sumMs = 0

  record (valueMs: number): void {
    const units = Math.min(HIGHEST_UNITS, Math.max(0, Math.round(valueMs * UNITS_PER_MS)))
    this._current.recordValue(units)
    this.total += 1
    this.sumMs += valueMs
  }

  /** Starts a new interval; the interval before the current one is forgotten. */
  rotate (): void {
    const oldest = this._previous
    this._previous = this._current
    oldest.reset()
    this._current = oldest
  }

  /** Percentiles and maximum in milliseconds, by quantile label. */
  quantiles (): Record<string, number> {
    const merged = buildHistogram()
    merged.add(this._previous)
    merged.add(this._current)
    const isEmpty = merged.totalCount === 0
    const at = (percentile: number): number => isEmpty ? 0 : merged.getValueAtPercentile(percentile) / UNITS_PER_MS
    return { p50: at(50), p90: at(90), p99: at(99), max: isEmpty ? 0 : merged.maxValue / UNITS_PER_MS }
  }
}

function buildHistogram (): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2 * UNITS_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS
  })
}

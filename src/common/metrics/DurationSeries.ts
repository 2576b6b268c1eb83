import { build, type Histogram } from 'hdr-histogram-js'

// Durations are recorded in microseconds, so that durations below a millisecond are distinguished.
const MICROS_PER_MS = 1000
const MAX_DURATION_MICROS = 86_400_000 * MICROS_PER_MS
// Limits the relative error to 1% and the memory of a histogram to about 14 KB.
const SIGNIFICANT_DIGITS = 2

/** Durations of one label set over the previous interval and the current one. */
export class DurationSeries {
  private _previous = buildHistogram()
  private _current = buildHistogram()
  total = 0
  sumMs = 0

  record (valueMs: number): void {
    const micros = Math.min(MAX_DURATION_MICROS, Math.max(0, Math.round(valueMs * MICROS_PER_MS)))
    this._current.recordValue(micros)
    this.total += 1
    this.sumMs += valueMs
  }

  /** Starts a new interval and discards the previous one. */
  rotate (): void {
    const recycled = this._previous
    this._previous = this._current
    recycled.reset()
    this._current = recycled
  }

  /** Percentiles and maximum in milliseconds, by the value of the `quantile` label; 0 when nothing was recorded. */
  quantiles (): Record<string, number> {
    const merged = buildHistogram()
    merged.add(this._previous)
    merged.add(this._current)
    const isEmpty = merged.totalCount === 0
    const at = (percentile: number): number => isEmpty ? 0 : merged.getValueAtPercentile(percentile) / MICROS_PER_MS
    return { p50: at(50), p90: at(90), p99: at(99), max: isEmpty ? 0 : merged.maxValue / MICROS_PER_MS }
  }
}

function buildHistogram (): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2 * MICROS_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS
  })
}

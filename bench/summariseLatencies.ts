import { build } from 'hdr-histogram-js'
import type { Measurements } from './Measurements.js'
import type { RequestOutcome } from './RequestOutcome.js'

const COUNTS_PER_MS = 1000
const PERCENTILES = [50, 95, 99]

/** Percentiles in milliseconds and failures of each kind of work, as `<label> p99 ms` and `<label> failed`. */
export function summariseLatencies (outcomes: readonly RequestOutcome[], value: (outcome: RequestOutcome) => number = ({ latencyMs }) => latencyMs, suffix = ''): Measurements {
  const figures: Measurements = {}
  for (const label of [...new Set(outcomes.map(outcome => outcome.label))].sort()) {
    const own = outcomes.filter(outcome => outcome.label === label)
    const done = own.filter(({ isOk }) => isOk)
    const histogram = build({ numberOfSignificantValueDigits: 3, useWebAssembly: false })
    for (const outcome of done) histogram.recordValue(Math.max(1, Math.round(value(outcome) * COUNTS_PER_MS)))
    for (const percentile of PERCENTILES) {
      figures[`${label}${suffix} p${percentile} ms`] = histogram.getValueAtPercentile(percentile) / COUNTS_PER_MS
    }
    if (suffix === '') figures[`${label} failed %`] = 100 * (1 - done.length / own.length)
  }
  return figures
}

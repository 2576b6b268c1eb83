import { build } from 'hdr-histogram-js'
import type { Measurements } from './Measurements.js'
import type { RequestOutcome } from './RequestOutcome.js'

const HISTOGRAM_UNITS_PER_MS = 1000
const PERCENTILES = [50, 95, 99]

/**
 * Latency percentiles of the successful requests, and the share of failed ones, for each label:
 * `<label><suffix> p99 ms` and, without a suffix, `<label> failed %`. `getLatencyMs` selects the latency to summarise.
 */
export function summariseLatencies (outcomes: readonly RequestOutcome[], getLatencyMs: (outcome: RequestOutcome) => number = ({ latencyMs }) => latencyMs, suffix = ''): Measurements {
  const measurements: Measurements = {}
  for (const label of [...new Set(outcomes.map(outcome => outcome.label))].sort()) {
    const labelled = outcomes.filter(outcome => outcome.label === label)
    const successful = labelled.filter(({ isOk }) => isOk)
    const histogram = build({ numberOfSignificantValueDigits: 3, useWebAssembly: false })
    for (const outcome of successful) histogram.recordValue(Math.max(1, Math.round(getLatencyMs(outcome) * HISTOGRAM_UNITS_PER_MS)))
    for (const percentile of PERCENTILES) {
      measurements[`${label}${suffix} p${percentile} ms`] = histogram.getValueAtPercentile(percentile) / HISTOGRAM_UNITS_PER_MS
    }
    if (suffix === '') measurements[`${label} failed %`] = 100 * (1 - successful.length / labelled.length)
  }
  return measurements
}

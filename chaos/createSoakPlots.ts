import { countByDuration } from '../tools/report/countByDuration.js'
import { countPerSecond } from '../tools/report/countPerSecond.js'
import type { Report } from '../tools/report/Report.js'
import type { ReportChart } from '../tools/report/ReportChart.js'
import type { ChaosResult } from './ChaosResult.js'
import type { Call } from './checker/Call.js'
import { formatResult } from './formatResult.js'

interface SoakRun { seed: number, result: ChaosResult }

/** Plots the latencies of soak runs, and when calls ended without an answer. */
export function createSoakPlots (runs: readonly SoakRun[]): Report {
  const calls = runs.flatMap(({ result }) => result.history.calls)
  return {
    title: 'Soak',
    facts: runs.map(({ seed, result }) => [`seed ${seed}`, formatResult(seed, result)]),
    charts: [latencyChart(calls), ...runs.map(({ seed, result }) => endChart(seed, result.history.calls))]
  }
}

function latencyChart (calls: readonly Call[]): ReportChart {
  const answered = calls.filter(call => call.end === 'answered')
  const kinds = [...new Set(answered.map(call => call.kind))]
  return {
    title: 'Latency of answered calls',
    kind: 'bar',
    xName: 'ms',
    yName: 'calls',
    series: kinds.map(kind => ({ name: kind, points: countByDuration(answered.filter(call => call.kind === kind).map(call => call.endedAtMs - call.startedAtMs)) }))
  }
}

function endChart (seed: number, calls: readonly Call[]): ReportChart {
  const startedAtMs = Math.min(...calls.map(call => call.startedAtMs))
  const ends = [...new Set(calls.map(call => call.end))].filter(end => end !== 'answered')
  return {
    title: `Calls without an answer, seed ${seed}`,
    kind: 'line',
    xName: 's',
    yName: 'calls per second',
    series: ends.map(end => ({ name: end, points: countPerSecond(calls.filter(call => call.end === end).map(call => call.endedAtMs - startedAtMs)) }))
  }
}

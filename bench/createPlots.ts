import type { Report as Page } from '../tools/report/Report.js'
import type { Report } from './Report.js'

/** Plots each measurement of a scenario by round, with a line for each variant. */
export function createPlots (report: Report): Page {
  const variants = Object.entries(report.rounds)
  const names = [...new Set(variants.flatMap(([, rounds]) => rounds.flatMap(measurements => Object.keys(measurements))))]
  return {
    title: `Scenario ${report.scenario}`,
    facts: [
      ['seed', String(report.seed)],
      ['round', `${report.roundMs} ms`],
      ['started', report.startedAt],
      ['load average', report.loadAverage.map(load => load.toFixed(1)).join(' to ')]
    ],
    charts: names.map(name => ({
      title: name,
      kind: 'line',
      xName: 'round',
      yName: name.split(' ').at(-1) ?? '',
      series: variants.map(([variant, rounds]) => ({ name: variant, points: rounds.map((measurements, index) => [index + 1, measurements[name] ?? 0] as const) }))
    }))
  }
}

import type { Measurements } from './Measurements.js'

/** Results of a scenario, written to `bench/results` as JSON. */
export interface Report {
  scenario: string
  seed: number
  roundMs: number
  /** Measurements of each round by variant; the first variant is the default. */
  rounds: Record<string, Measurements[]>
  startedAt: string
  /** One-minute load average of the host at start and end. */
  loadAverage: [number, number]
}

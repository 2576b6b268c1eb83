import type { Measurements } from './Measurements.js'

/** Result of a scenario, as written to `bench/results`. */
export interface Report {
  scenario: string
  seed: number
  roundMs: number
  /** Figures of each round by variant; the first variant is the default. */
  rounds: Record<string, Measurements[]>
  startedAt: string
  /** One-minute load average of the machine at start and end. */
  loadAverage: [number, number]
}

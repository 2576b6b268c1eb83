import type { Measurements } from './Measurements.js'

/** Running processes of one variant of a scenario. */
export interface IBenchEnvironment {
  /** Applies the load of one round, generated with `random`, and returns what was measured. */
  measureRound (random: () => number, durationMs: number): Promise<Measurements>
  /** Ends the processes. */
  dispose (): Promise<void>
}

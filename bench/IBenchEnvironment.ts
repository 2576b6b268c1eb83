import type { Measurements } from './Measurements.js'

/** Running processes of one variant. */
export interface IBenchEnvironment {
  /** Measures one round. */
  measureRound (random: () => number, durationMs: number): Promise<Measurements>
  dispose (): Promise<void>
}

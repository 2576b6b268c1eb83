import type { Figures } from './Figures.js'

/** Running processes of one variant. */
export interface IBed {
  /** Measures one round. */
  round (random: () => number, durationMs: number): Promise<Figures>
  dispose (): Promise<void>
}

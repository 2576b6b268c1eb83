import type { IBenchEnvironment } from './IBenchEnvironment.js'

/** A measurement that compares variants, for example policies, under the same load. */
export interface Scenario {
  /** The first is the default, to which the others are compared. */
  variants: readonly string[]
  roundMs: number
  rounds: number
  /** True: each round starts its processes anew. */
  restartsEachRound?: boolean
  /** Figures of the last line: ratio of the default to each other variant. */
  summaryNames: readonly string[]
  start (variant: string): Promise<IBenchEnvironment>
}

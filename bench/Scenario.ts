import type { IBenchEnvironment } from './IBenchEnvironment.js'

/** A benchmark that compares variants, for example policies, under the same load. */
export interface Scenario {
  /** Names of the variants. The first is the default, to which the others are compared. */
  variants: readonly string[]
  roundMs: number
  /** Number of measured rounds of each variant. */
  rounds: number
  /** True: new processes are started for every round. */
  restartsEachRound?: boolean
  /** Names of the measurements in the last printed line: the ratio of the default to each other variant. */
  summaryNames: readonly string[]
  /** Starts the processes of a variant. */
  start (variant: string): Promise<IBenchEnvironment>
}

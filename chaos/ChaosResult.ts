import type { History } from './checker/History.js'
import type { Violation } from './checker/Violation.js'

/** Result of a run. */
export interface ChaosResult {
  history: History
  violations: Violation[]
  /** Folder with the logs of the entries and the history; only set if there are violations. */
  logFolder?: string
}

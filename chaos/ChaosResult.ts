import type { History } from './checker/History.js'
import type { Violation } from './checker/Violation.js'

/** Verdict of a run. */
export interface ChaosResult {
  history: History
  violations: Violation[]
  /** Folder with the entries' logs and the history; only after violations. */
  logFolder?: string
}

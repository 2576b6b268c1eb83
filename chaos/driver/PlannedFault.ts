import type { FaultKind } from './FaultKind.js'

/** A fault of the schedule. */
export interface PlannedFault {
  /** Start, in milliseconds after the start of the run. */
  atMs: number
  /** Time for which the fault stays active; for a killed or stopped entry, the time from its exit to its restart. */
  activeMs: number
  kind: FaultKind
  target: string
}

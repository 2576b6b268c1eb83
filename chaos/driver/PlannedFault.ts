import type { FaultKind } from './FaultKind.js'

/** A fault of the schedule. */
export interface PlannedFault {
  atMs: number
  holdMs: number
  kind: FaultKind
  target: string
}

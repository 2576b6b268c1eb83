import type { faultKinds } from './faultKinds.js'

/** Name of a fault of the schedule. */
export type FaultKind = keyof typeof faultKinds

import type { faultKinds } from './faultKinds.js'

/** Name of a kind of fault. */
export type FaultKind = keyof typeof faultKinds

import type { Incarnation } from './Incarnation.js'

/** A run of a request at an upstream that ended without a response. */
export interface RunWithoutResponse extends Incarnation {
  fingerprint: string
  /** `performance.now()` at which it was sent. */
  sentAtMs: number
  /** `performance.now()` at which it ended. */
  sinceMs: number
}

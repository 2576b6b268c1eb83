import type { Incarnation } from './Incarnation.js'

/** The end of an incarnation of an upstream, or what looks like it, while it ran a request. */
export interface SuspectedCrash extends Incarnation {
  /** `performance.now()` at which this entry learned of it; a sign of life has to be newer. */
  sinceMs: number
  /** Whether this entry saw the run, and so writes and deletes the record of the crash. */
  isOwn: boolean
  isPublished: boolean
}

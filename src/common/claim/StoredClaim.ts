import type { StoredAnswer } from '../schema/StoredAnswer.js'

/** The winning claim of a key, according to the log. */
export interface StoredClaim {
  claimId: string
  bodySha256: string
  /** Log time of the latest claim record of this key, from which the key window is counted. */
  lastClaimAtMs: number
  /** `performance.now()` at which this entry applied that record. */
  appliedAtMs: number
  /** Answer of the call, once a result has been recorded. */
  answer?: StoredAnswer
}

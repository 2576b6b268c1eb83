import type { StoredResponse } from '../schema/StoredResponse.js'

/** The winning claim of a key, according to the log. */
export interface StoredClaim {
  claimId: string
  bodySha256: string
  /** Log time of the latest claim record of this key, from which the key window is counted. */
  lastClaimAtMs: number
  /** `performance.now()` at which this entry applied that record. */
  appliedAtMs: number
  /** Response to the call, once a result has been recorded. */
  response?: StoredResponse
}

import type { StoredAnswer } from '../schema/StoredAnswer.js'

/** The winning claim of a key as the log holds it. */
export interface StoredClaim {
  claimId: string
  bodySha256: string
  /** Log time of the newest claim record of this key; the key window is counted from it. */
  lastClaimAtMs: number
  /** `performance.now()` at which that record was applied here. */
  appliedAtMs: number
  answer?: StoredAnswer
}

import type { ResultAsync } from 'neverthrow'
import type { ClaimError } from './ClaimError.js'
import type { ClaimOutcome } from './ClaimOutcome.js'
import type { ClaimRequest } from './ClaimRequest.js'

/** Decides through the log which entry may run a call that must run at most once. */
export interface IClaimService {
  /** Claims the key. If another request holds it, waits for the response to that request until the deadline. */
  claim (request: ClaimRequest): ResultAsync<ClaimOutcome, ClaimError>
}

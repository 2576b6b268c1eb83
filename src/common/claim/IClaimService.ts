import type { ResultAsync } from 'neverthrow'
import type { ClaimError } from './ClaimError.js'
import type { ClaimOutcome } from './ClaimOutcome.js'
import type { ClaimRequest } from './ClaimRequest.js'

/** Decides through the log which entry may run a call that must not be repeated. */
export interface IClaimService {
  /** Wins the key, waits for the winner's answer, or fails. */
  claim (request: ClaimRequest): ResultAsync<ClaimOutcome, ClaimError>
}

import type { StoredResponse } from '../schema/StoredResponse.js'
import type { IClaimTicket } from './IClaimTicket.js'

/** Result of claiming a key: this entry may run the call, or the call has already completed. */
export type ClaimOutcome =
  | { kind: 'won', ticket: IClaimTicket }
  | { kind: 'completed', response: StoredResponse }

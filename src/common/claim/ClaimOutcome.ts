import type { StoredAnswer } from '../schema/StoredAnswer.js'
import type { IClaimTicket } from './IClaimTicket.js'

/** Result of claiming a key: this entry may run the call, or the call has already been answered. */
export type ClaimOutcome =
  | { kind: 'won', ticket: IClaimTicket }
  | { kind: 'answered', answer: StoredAnswer }

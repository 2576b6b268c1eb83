import type { StoredAnswer } from '../schema/StoredAnswer.js'
import type { IClaimTicket } from './IClaimTicket.js'

/** Result of claiming a key. */
export type ClaimOutcome =
  | { kind: 'won', ticket: IClaimTicket }
  | { kind: 'answered', answer: StoredAnswer }

import type { StoredAnswer } from '../schema/StoredAnswer.js'
import type { ClaimTicket } from './ClaimTicket.js'

/** Result of claiming a key. */
export type ClaimOutcome =
  | { kind: 'won', ticket: ClaimTicket }
  | { kind: 'answered', answer: StoredAnswer }

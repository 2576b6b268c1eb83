/** `fenced`: a holder with a higher fencing token has acted. `retry`: rejected for now, or without a response. */
export type DutyOutcome = 'accepted' | 'fenced' | 'retry'

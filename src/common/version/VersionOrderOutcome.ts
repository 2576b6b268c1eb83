/** Response of an engine to an order; `unknown` without a valid response. */
export type VersionOrderOutcome = 'accepted' | 'already_done' | 'busy_or_moved' | 'fenced' | 'invalid' | 'wrong_upstream' | 'unknown'

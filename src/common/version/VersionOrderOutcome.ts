/** How an engine answered an order. */
export type VersionOrderOutcome = 'accepted' | 'already_done' | 'busy_or_moved' | 'fenced' | 'invalid' | 'wrong_upstream' | 'unknown'

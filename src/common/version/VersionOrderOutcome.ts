/**
 * Response of an engine to an order; `unknown` without a valid response. `already_done`: the version is loaded.
 * `busy_or_moved`: the engine is busy, or its number of accepted orders is not the expected one. `fenced`: it has
 * received an order with a higher epoch. `wrong_upstream`: another engine has the address now.
 */
export type VersionOrderOutcome = 'accepted' | 'already_done' | 'busy_or_moved' | 'fenced' | 'invalid' | 'wrong_upstream' | 'unknown'

/**
 * Simulated outcome of one append: `ok`, rejected temporarily (`rejected`) or permanently (`malformed`), applied with
 * its response lost (`response_lost`), or not applied with an indeterminate error (`request_lost`).
 */
export type AppendOutcome = 'ok' | 'rejected' | 'malformed' | 'response_lost' | 'request_lost'

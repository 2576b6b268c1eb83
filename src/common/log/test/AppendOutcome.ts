/**
 * Simulated outcome of one append: `ok`, rejected temporarily (`refused`) or permanently (`malformed`), applied with
 * its response lost (`answer_lost`), or not applied with an indeterminate error (`request_lost`).
 */
export type AppendOutcome = 'ok' | 'refused' | 'malformed' | 'answer_lost' | 'request_lost'

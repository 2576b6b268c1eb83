/** What happens to one append: applied, refused for a time or for good, or applied or not with a lost answer. */
export type AppendOutcome = 'ok' | 'refused' | 'malformed' | 'answer_lost' | 'request_lost'

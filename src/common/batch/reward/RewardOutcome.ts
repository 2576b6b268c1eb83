/** Outcome of one try of a reward call, which consists of attempts at several upstreams. */
export type RewardOutcome =
  | { kind: 'scored', score: string }
  /** The reward service reported failures: the number of its responses with status 500. */
  | { kind: 'failed', failures: number }
  /** All servers of the reward service were full or out of reach. */
  | { kind: 'not_run', reason: string, retryAfterMs: number }
  /** There was no usable response in time. */
  | { kind: 'no_response', reason: string }
  | { kind: 'cancelled' }

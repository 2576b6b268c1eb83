/** Counters of the demo. It succeeds if `answered` equals `requests` and the other counters are 0. */
export interface DemoCounters {
  /** Requests of callers and samples of training steps. */
  requests: number
  /** Requests that got a complete, correct response. */
  answered: number
  /** Requests that got no correct response. */
  lost: number
  /** Tickets that ran more than once and samples that were delivered more than once. */
  duplicated: number
  /** Samples staler than the bound of their trainer's contract. */
  stale: number
}

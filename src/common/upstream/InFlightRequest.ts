/** A request of this entry that runs on an upstream. */
export interface InFlightRequest {
  size: 'short' | 'long'
  /** Estimated units of work: 1 for a call, tokens for a generation. */
  units: number
  fingerprint: string
  /** `performance.now()` of the dispatch. */
  startedAtMs: number
}

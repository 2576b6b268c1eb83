/** A request of this entry in flight on an upstream. */
export interface InFlightRequest {
  size: 'short' | 'long'
  /** Estimated units of work: 1 for a call, number of tokens for a generation. */
  units: number
  fingerprint: string
  /** `performance.now()` of the dispatch. */
  startedAtMs: number
}

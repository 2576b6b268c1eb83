import type { RouteKind } from './RouteKind.js'

/** One route: which requests it takes, where they go and what limits hold for them. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** Services with their shares of the traffic; one entry for a route that is not split. */
  services: ReadonlyArray<{ name: string, weight: number }>
  /** Most upstreams that may run one request. */
  maxAttempts: number
  /** Longest time that a caller is kept waiting. */
  timeoutMs: number
  /** Time within which an answer is of full use to its caller. */
  targetLatencyMs: number
  /** 0 is the most urgent. */
  priority: number
  /** Whether a stream may go on at another upstream behind the last event. */
  isResumable: boolean
  /** For batches: all results are due this long after the submission. */
  batchDeadlineMs: number
  /** For batches: an item may be given up this long after the submission. */
  batchRetentionMs: number
  /** For batches: whether all events of a result must come from one weight version. */
  isSingleVersion: boolean
}

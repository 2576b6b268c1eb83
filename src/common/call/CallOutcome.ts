import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'

/**
 * Outcome of a call. `not_run` guarantees that no upstream has run it or will run it; after `unknown` and
 * `timeout` it may have run.
 */
export type CallOutcome =
  /** `failedResponses` counts the responses with status 500 to all attempts. */
  | { kind: 'answer', answer: UpstreamResponse, upstream: string, attempts: number, failedResponses: number }
  | { kind: 'not_run', reason: string, retryAfterMs: number }
  | { kind: 'unknown', reason: string }
  | { kind: 'timeout', reason: string }
  | { kind: 'cancelled' }

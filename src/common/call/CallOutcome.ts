import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'

/**
 * Outcome of a call. `not_run` guarantees that no upstream has run it or will run it; after `unknown` and
 * `timeout` it may have run.
 */
export type CallOutcome =
  | { kind: 'answer', answer: UpstreamResponse, upstream: string, attempts: number }
  | { kind: 'not_run', reason: string, retryAfterMs: number }
  | { kind: 'unknown', reason: string }
  | { kind: 'timeout', reason: string }
  | { kind: 'cancelled' }

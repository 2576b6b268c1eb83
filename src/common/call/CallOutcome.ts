import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'

/**
 * How a call ended. `not_run` states that no upstream has run it or ever will; `unknown` and
 * `timeout` state nothing.
 */
export type CallOutcome =
  | { kind: 'answer', answer: UpstreamResponse, upstream: string, attempts: number }
  | { kind: 'not_run', reason: string, retryAfterMs: number }
  | { kind: 'unknown', reason: string }
  | { kind: 'timeout', reason: string }
  | { kind: 'cancelled' }

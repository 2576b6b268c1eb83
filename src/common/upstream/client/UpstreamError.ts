/**
 * Errors of requests to upstreams. `sent` is false only when no byte of the request reached
 * the upstream, so that the request cannot have run.
 */
export type UpstreamError =
  | { kind: 'connect_failed', message: string, sent: false }
  | { kind: 'deadline_before_send', message: string, sent: false }
  | { kind: 'reset', message: string, sent: true }
  | { kind: 'timeout', message: string, sent: true }
  | { kind: 'truncated', message: string, sent: true }
  | { kind: 'mismatched', message: string, sent: true }
  /** The status of the response is not valid in HTTP, so it is no response. */
  | { kind: 'invalid_status', message: string, sent: true }
  | { kind: 'cancelled', message: string, sent: boolean }

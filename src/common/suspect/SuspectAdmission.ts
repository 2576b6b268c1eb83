/** Whether a call may be sent to upstreams. */
export type SuspectAdmission =
  | { kind: 'admitted' }
  /** The request has crashed upstreams; it may run once more, at one upstream, to see whether it still does. */
  | { kind: 'trial' }
  | { kind: 'refused', retryAfterMs: number }

/** Reasons for which admission rejects a request; none of them lets the request run. */
export type AdmissionError =
  | { kind: 'queue_full', message: string, retryAfterMs: number }
  | { kind: 'deadline_unreachable', message: string }
  | { kind: 'no_upstream', message: string }
  | { kind: 'request_blocked', message: string }
  | { kind: 'caller_gone', message: string }

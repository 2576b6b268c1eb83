/** A run of a request, in the form that `GET /ledger` returns. */
export interface RecordedCall {
  /** Idempotency-Key of the request; empty if it has none. */
  key: string
  request_id: string
  method: string
  path: string
  body_sha256: string
  /** Number of runs of this key and body so far, including this one; 1 for requests without a key. */
  count: number
  started_at_ms: number
  /** Absent while the request is running. */
  finished_at_ms?: number
}

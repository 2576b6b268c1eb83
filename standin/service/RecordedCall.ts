/** One run of a request, as `GET /ledger` answers it. */
export interface RecordedCall {
  /** Idempotency-Key, empty without one. */
  key: string
  request_id: string
  method: string
  path: string
  body_sha256: string
  /** How often this key and body have run, this run included; 1 for requests without a key. */
  count: number
  started_at_ms: number
  /** Absent while the request runs. */
  finished_at_ms?: number
}

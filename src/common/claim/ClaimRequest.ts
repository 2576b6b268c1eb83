/** A call that must run at most once. */
export interface ClaimRequest {
  organisation: string
  service: string
  /** The caller's Idempotency-Key. */
  key: string
  bodySha256: string
  /** `performance.now()` by which the caller wants its answer. */
  deadlineAtMs: number
}

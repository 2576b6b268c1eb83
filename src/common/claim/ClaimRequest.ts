/** Request to claim the key of a call that must run at most once. */
export interface ClaimRequest {
  organisation: string
  service: string
  /** The caller's Idempotency-Key. */
  key: string
  bodySha256: string
  /** Deadline of the call, in the time of `performance.now()`. */
  deadlineAtMs: number
}

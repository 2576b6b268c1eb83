/** What a claim is for: one Idempotency-Key of one customer and service. */
export interface ClaimKey {
  customer: string
  service: string
  key: string
}

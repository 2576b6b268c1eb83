/** What a claim is for: one Idempotency-Key of one organisation and service. */
export interface ClaimKey {
  organisation: string
  service: string
  key: string
}

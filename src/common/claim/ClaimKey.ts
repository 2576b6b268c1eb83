/** Key that is claimed: an Idempotency-Key, scoped to an organisation and a service. */
export interface ClaimKey {
  organisation: string
  service: string
  key: string
}

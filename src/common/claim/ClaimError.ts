/** Errors of the claim layer; `outcome` is what the caller may be told. */
export type ClaimError =
  | { kind: 'claim_unavailable', message: string, outcome: 'not_run' }
  | { kind: 'claim_unknown', message: string, outcome: 'unknown' }
  | { kind: 'claim_body_differs', message: string, outcome: 'not_run' }

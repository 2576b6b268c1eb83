/** Errors of claiming a key; `outcome` is the outcome to report to the caller. */
export type ClaimError =
  | { kind: 'claim_unavailable', message: string, outcome: 'not_run' }
  | { kind: 'claim_unknown', message: string, outcome: 'unknown' }
  | { kind: 'claim_body_differs', message: string, outcome: 'not_run' }

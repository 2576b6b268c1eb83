/** Errors of a lookup or ticket as the caller sees them. */
export interface CallError {
  kind: string
  message: string
  /** `not_run` is a guarantee; everything else is `unknown`. */
  outcome: 'not_run' | 'unknown'
  status: number
  retryAfterMs?: number
}

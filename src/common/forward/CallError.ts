/** Error of a lookup or ticket as reported to the caller. */
export interface CallError {
  kind: string
  message: string
  /** `not_run` guarantees that the call did not run; in all other cases it is `unknown`. */
  outcome: 'not_run' | 'unknown'
  /** HTTP status. */
  status: number
  retryAfterMs?: number
}

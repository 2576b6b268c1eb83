/** Error of a generation. `outcome` is `not_run` only if it is certain that no engine received the request. */
export interface GenerationError {
  kind: string
  message: string
  outcome: 'not_run' | 'unknown'
  /** HTTP status. */
  status: number
  retryAfterMs?: number
}

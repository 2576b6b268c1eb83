/** Errors of a generation. `outcome` is `not_run` only when no engine received the request. */
export interface GenerationError {
  kind: string
  message: string
  outcome: 'not_run' | 'unknown'
  status: number
  retryAfterMs?: number
}

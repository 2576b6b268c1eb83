/** An error as HTTP callers see it. */
export interface ApiError {
  status: number
  kind: string
  message: string
  /** Field of the request or contract that broke a rule. */
  field?: string
  /** `not_run` is a guarantee that nothing was done. */
  outcome: 'not_run' | 'unknown'
  retryAfterMs?: number
  /** Further members of the error body. */
  details?: Record<string, unknown>
}

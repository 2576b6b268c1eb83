/** Error response of the HTTP interface. */
export interface ApiError {
  status: number
  kind: string
  message: string
  /** Invalid field of the request or contract. */
  field?: string
  /** `not_run` guarantees that nothing was executed. */
  outcome: 'not_run' | 'unknown'
  retryAfterMs?: number
  /** Additional members of the error body. */
  details?: Record<string, unknown>
}

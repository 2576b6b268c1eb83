/** One request as observed by its caller. Times are values of `Date.now()`. */
export interface Call {
  /** Sent as `X-Request-Id`. Contains no dot, because entries append `.n` to the id for each further attempt. */
  id: string
  kind: 'lookup' | 'ticket' | 'stream'
  /** Name of the entry that the caller connected to, or `balancer`. */
  entry: string
  organisation: string
  service: string
  /** `Idempotency-Key` of a ticket. */
  key?: string
  /** Content of the complete, correct response to this request. */
  expected: string
  /** True if the call was made on a persistent connection that carries several calls. */
  isKept?: boolean
  startedAtMs: number
  endedAtMs: number
  deadlineMs: number
  /**
   * `answered`: complete response with status 200; `refused`: error response or error event in a stream; `cut`: the
   * connection or the response ended early; `connect_failed`: connection refused; `abandoned`: the caller aborted the
   * request; `hang`: no complete response by the deadline plus `tolerances.hangMarginMs`.
   */
  end: 'answered' | 'refused' | 'cut' | 'connect_failed' | 'abandoned' | 'hang'
  status: number
  /** `outcome` field of an error response. */
  outcome?: string
  /** Content of the response; after a failure, the error code and message. */
  content: string
}

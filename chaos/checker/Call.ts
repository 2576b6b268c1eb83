/** One request as its caller saw it. Times are `Date.now()`. */
export interface Call {
  /** Sent as `X-Request-Id`; contains no dot, because entries append `.n` to the id of a further attempt. */
  id: string
  kind: 'lookup' | 'ticket' | 'stream'
  /** Entry that the caller connected to, or `balancer`. */
  entry: string
  organisation: string
  service: string
  /** Idempotency-Key of a ticket. */
  key?: string
  /** What the whole response to this request says. */
  expected: string
  /** Made on a connection that is used for several calls. */
  isKept?: boolean
  startedAtMs: number
  endedAtMs: number
  deadlineMs: number
  /** `abandoned`: the caller left; `hang`: no end until the deadline and the margin had passed. */
  end: 'answered' | 'refused' | 'cut' | 'connect_failed' | 'abandoned' | 'hang'
  status: number
  /** Outcome that a refusal states. */
  outcome?: string
  /** Content of the response; for failures the reason. */
  content: string
}

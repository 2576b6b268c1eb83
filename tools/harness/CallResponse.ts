/** Result of one call as its caller received it. */
export interface CallResponse {
  /** HTTP status; 0 when no complete response arrived. */
  status: number
  /** Parsed JSON; the text itself when it is not JSON. */
  body: any
  /** Kind of the error that the entry reported. */
  kind?: string
  /** `not_run` or `unknown` when the entry reported an error. */
  outcome?: string
}

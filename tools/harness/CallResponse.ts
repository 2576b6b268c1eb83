/** What a caller saw of one call. */
export interface CallResponse {
  /** 0 when the connection ended without a whole answer. */
  status: number
  /** Parsed JSON, the text itself when it is not JSON. */
  body: any
  /** Kind of an error that the entry reported. */
  kind?: string
  /** `not_run` or `unknown` when the entry refused the call. */
  outcome?: string
}

/** Outcome of one arrival. Times are measured from its scheduled send time. */
export interface RequestOutcome {
  label: string
  /** True if the response was complete with status 200. */
  isOk: boolean
  /** HTTP status; 0 when there was no response. */
  status: number
  latencyMs: number
  /** Time to the first byte of the response body; Infinity when there was none. */
  firstByteMs: number
}

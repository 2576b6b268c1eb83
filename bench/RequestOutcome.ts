/** What became of one arrival. Times count from the scheduled send time. */
export interface RequestOutcome {
  label: string
  isOk: boolean
  /** 0 when there was no response. */
  status: number
  latencyMs: number
  /** Time to the first byte of the response's body; Infinity when there was none. */
  firstByteMs: number
}

/** Error of a poll. */
export interface PollError {
  message: string
  /** True when no connection could be established. */
  isConnectFailure: boolean
}

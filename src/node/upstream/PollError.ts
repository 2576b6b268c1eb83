/** Error of a poll; `isRefused` is true when no connection could be established. */
export interface PollError {
  message: string
  isConnectFailure: boolean
}

/** Size limits and time-outs for requests of callers. */
export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  /** Longest time to receive the header section. */
  headerTimeoutMs: number
  /** Idle time after which a connection may be closed. */
  idleTimeoutMs: number
}

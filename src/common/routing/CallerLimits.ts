/** What callers may send, and how slowly. */
export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

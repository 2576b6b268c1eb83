/** Bounds on clients that make no progress. */
export interface ClientTimeouts {
  /** Longest time from the first byte of a header section to its end. */
  headerMs: number
  /** Idle time after which a connection may be closed. */
  idleMs: number
}

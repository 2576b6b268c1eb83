/** How the use of a slot ended; input for the latency estimates, concurrency limits and the suspect table. */
export type SlotResult =
  | { kind: 'completed', durationMs: number, units: number }
  /** The request was moved to another upstream after this many units, because this one is slow. */
  | { kind: 'moved', durationMs: number, units: number }
  | { kind: 'failed', sent: boolean }
  | { kind: 'timeout' }
  /** The caller disconnected after the request was sent; the upstream may still be running it. */
  | { kind: 'abandoned' }
  | { kind: 'cancelled' }

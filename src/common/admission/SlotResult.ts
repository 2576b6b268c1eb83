/** How the use of a slot ended; feeds the latency estimates, limits and the suspect table. */
export type SlotResult =
  | { kind: 'completed', durationMs: number, units: number }
  /** The request was taken elsewhere after this many units, because the upstream is slow. */
  | { kind: 'moved', durationMs: number, units: number }
  | { kind: 'failed', sent: boolean }
  | { kind: 'timeout' }
  /** The caller left after the request was sent; the upstream may still run it. */
  | { kind: 'abandoned' }
  | { kind: 'cancelled' }

/** How the use of a slot ended; feeds the latency estimates, limits and the suspect table. */
export type SlotResult =
  | { kind: 'completed', durationMs: number, units: number }
  | { kind: 'failed', sent: boolean }
  | { kind: 'timeout' }
  | { kind: 'cancelled' }

/** How the use of a slot ended; input for the latency estimates, concurrency limits and the suspect table. */
export type SlotResult =
  | { kind: 'completed', durationMs: number, units: number }
  /** The request was moved to another upstream after this many units, because this one is slow. */
  | { kind: 'moved', durationMs: number, units: number }
  /** The upstream failed. `sent` is false only when no byte of the request reached it. */
  | { kind: 'failed', sent: boolean }
  /** The deadline expired or the stream stalled. */
  | { kind: 'timeout' }
  /** The caller disconnected after the request was sent; the upstream may still be running it. */
  | { kind: 'abandoned' }
  /** Any other end, for example an aborted hedge or an error response; the upstream counts as neither failed nor fast. */
  | { kind: 'cancelled' }

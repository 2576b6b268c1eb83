/** One start of an upstream. */
export interface Incarnation {
  upstreamId: string
  /** Start in Unix milliseconds by the upstream's newest known record, as in `FleetMember`. */
  startedAtMs: number
  /** Number of starts that followed that one, as runs showed before a record of them was read. */
  restarts: number
}

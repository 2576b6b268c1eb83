/** One start of an upstream. */
export interface Incarnation {
  upstreamId: string
  /** Start in Unix milliseconds, as in `FleetMember`. */
  startedAtMs: number
}

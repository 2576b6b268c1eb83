/** What a simulated selection may use besides what the decider knows of the upstreams. */
export interface SelectionContext {
  nowMs: number
  random: () => number
  deciders: number
  /** Requests of all deciders in flight at each server, as exchanged between them every 200 ms. */
  hints: readonly number[]
  /** Requests at each server or on their way there at this moment, which only a reservation at the server can know. */
  reserved: readonly number[]
}

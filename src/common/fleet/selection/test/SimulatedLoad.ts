/** Deployment and traffic of one simulation. */
export interface SimulatedLoad {
  deciders: number
  slots: number
  workMs: number
  /** Relative speed of each server at a time. */
  speeds: ReadonlyArray<(nowMs: number) => number>
  callsPerS: number
  /** Calls that arrive at the same moment, at deciders chosen at random. */
  burst: number
  /** Delay until a load reading counts, in addition to the hop. */
  figureAgeMs: number
  /** Whether a load reading contains the request whose response carries it. */
  countsOwnRequest: boolean
  isReachable: (server: number, decider: number, nowMs: number) => boolean
  measureFromMs: number
  durationMs: number
}

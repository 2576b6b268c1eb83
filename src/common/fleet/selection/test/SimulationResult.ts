/** Figures of one simulation, over the calls that started after `measureFromMs`. */
export interface SimulationResult {
  busiestToMean: number
  p50Ms: number
  p99Ms: number
  /** Share of calls whose first attempt was rejected by a full server. */
  rejectedFirstShare: number
  /** Share of calls that no server ran. */
  failedShare: number
}

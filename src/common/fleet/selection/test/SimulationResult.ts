/** Figures of one simulation, over the calls that started after `measureFromMs`. */
export interface SimulationResult {
  busiestToMean: number
  p50Ms: number
  p99Ms: number
  /** Share of calls whose first attempt was refused by a full server. */
  refusedFirstShare: number
  /** Share of calls that no server ran. */
  failedShare: number
}

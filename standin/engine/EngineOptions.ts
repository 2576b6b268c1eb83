/** Settings of an engine. */
export interface EngineOptions {
  /** Base model, named after the service. */
  model: string
  /** `ip:port` of the weight store; if empty, versions are loaded without fetching weights. */
  weights: string
  capacity: number
  /** Generation rate of each running request. */
  tokensPerSecond: number
  prefillTokensPerSecond: number
  cacheBlocks: number
  cacheEventLagMs: number
  /** Every n-th cache event is lost; 0 means none. */
  cacheEventLoseEvery: number
  loadLagMs: number
  /** Time for which all generation pauses while weights are swapped. */
  swapMs: number
  /** Whether orders with a fencing token lower than the highest seen are refused. */
  checkFence: boolean
}

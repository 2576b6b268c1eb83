/** Settings of an engine. */
export interface EngineOptions {
  /** Base model, which is the service's name. */
  model: string
  /** `ip:port` of the weight store; empty means that loads need no weight store. */
  weights: string
  capacity: number
  /** Rate of each running request. */
  tokensPerSecond: number
  prefillTokensPerSecond: number
  cacheBlocks: number
  cacheEventLagMs: number
  /** Every n-th cache event is lost; 0 means none. */
  cacheEventLoseEvery: number
  loadLagMs: number
  /** Pause of all generation while loaded weights are put in place. */
  swapMs: number
  /** True: refuses orders with a fencing number lower than the highest seen. */
  checkFence: boolean
}

/** State of an engine that the selection of an engine for an item depends on. */
export interface EngineView {
  id: string
  /** Loaded weight version of the model. */
  version: number
  freeSlots: number
  /** Number of running requests. */
  running: number
  /** Expected time between two events of a run. */
  eventIntervalMs: number
  kvCapacityTokens: number
  /** KV cache that the running requests are not expected to need; negative when they need more than the capacity. */
  kvFreeTokens: number
  /** Whether the engine is temporarily excluded from selection after failures. */
  isExcluded: boolean
  /** Whether it is loading weights of the model. */
  isLoading: boolean
}

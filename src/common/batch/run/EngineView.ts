/** What the choice of an engine for an item rests on. */
export interface EngineView {
  id: string
  version: number
  freeSlots: number
  running: number
  /** Expected time between two events. */
  eventIntervalMs: number
  kvCapacityTokens: number
  /** Memory that the runs there are not expected to need; below 0 when they need more than there is. */
  kvFreeTokens: number
  isExcluded: boolean
  isLoading: boolean
}

/** What the choice of an engine for an item rests on. */
export interface EngineView {
  id: string
  version: number
  freeSlots: number
  running: number
  /** Expected time between two events. */
  paceMs: number
  /** Memory that the runs there are not expected to need. */
  kvFreeTokens: number
  isAvoided: boolean
  isLoading: boolean
}

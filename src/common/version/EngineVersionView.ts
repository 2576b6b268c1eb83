/** One engine of a model, as the choice of engines that change versions sees it. */
export interface EngineVersionView {
  id: string
  version: number
  /** Runs of the model there. */
  running: number
  /** Expected time between two events. */
  eventIntervalMs: number
  /** Whether it loads already or may not be ordered now. */
  isLoading: boolean
}

/** One engine of a model, as the choice of engines that change versions sees it. */
export interface EngineVersionView {
  id: string
  version: number
  /** Runs of the model there. */
  running: number
  isLoading: boolean
}

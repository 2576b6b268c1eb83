/** State of an engine that the selection of engines to load a new version depends on. */
export interface EngineVersionView {
  id: string
  version: number
  /** Number of running requests of the model. */
  running: number
  /** Number of running requests whose output a load would make worthless. */
  runningSingleVersion: number
  /** Expected time between two events of a run. */
  eventIntervalMs: number
  /** Whether it is already loading, or may not receive an order now. */
  isLoading: boolean
}

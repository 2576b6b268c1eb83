/** An order to an engine to load a version of a model. */
export interface VersionOrder {
  model: string
  version: number
  /** Whether runs complete with the old version first, or continue with the new one. */
  mode: 'finish_runs' | 'keep_runs'
  holder: string
  epoch: number
  /** Number of orders that the engine must have accepted before this one; it rejects the order if another came first. */
  expectedCount: number
}

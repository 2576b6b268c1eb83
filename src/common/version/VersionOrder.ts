/** The order to load a version of a model. */
export interface VersionOrder {
  model: string
  version: number
  /** Whether runs end under the old version first, or go on under the new one. */
  mode: 'finish_runs' | 'keep_runs'
  holder: string
  epoch: number
  /** Orders that the engine has accepted so far: the order is void if another came between. */
  expectedCount: number
}

import type { assignEngines } from '../../../version/assignEngines.js'
import type { Batch } from '../../Batch.js'
import type { chooseEngine } from '../../policy/chooseEngine.js'
import type { LengthEstimator } from '../../policy/LengthEstimator.js'
import type { ItemState } from '../../record/ItemState.js'
import type { EngineView } from '../../run/EngineView.js'

/** An open step of a trainer in the model. */
export interface ModelStep { batch: Batch, priority: number, deadlineAtMs: number, engines: EngineView[] }

/** The decisions that the cluster model compares. */
export interface IClusterPolicy {
  /** Waiting items of all steps in dispatch order. */
  order: (steps: readonly ModelStep[], estimator: LengthEstimator, nowMs: number) => Array<{ step: ModelStep, state: ItemState }>
  chooseEngine: typeof chooseEngine
  assignEngines: typeof assignEngines
  /** Demand of a submitted batch, which is averaged over the batches of its model. */
  demand: (batch: Batch, estimator: LengthEstimator) => number
  /** Demand by which engines are assigned, from the average and the remaining events of the open batches. */
  combineDemand: (average: number, remainingEvents: number) => number
}

import type { Batch } from '../Batch.js'

/** An open step, as the order of items depends on it. */
export interface StepView {
  batch: Batch
  /** 0 is the highest. */
  priority: number
  /** Unix milliseconds by which its results have their full value. */
  deadlineAtMs: number
}

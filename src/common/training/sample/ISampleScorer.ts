import type { SampleTask } from './SampleTask.js'

/** Scores samples by the contract's scorer. */
export interface ISampleScorer {
  /** Resolves with the reward, or undefined when the signal aborted. */
  score (task: SampleTask, scorer: string, text: string, signal: AbortSignal): Promise<number | undefined>
}

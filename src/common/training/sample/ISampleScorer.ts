import type { SampleTask } from './SampleTask.js'

/** Scores samples with the scorer service of the contract. */
export interface ISampleScorer {
  /** Resolves with the reward, or with undefined when the signal is aborted. */
  score (task: SampleTask, scorer: string, text: string, signal: AbortSignal): Promise<number | undefined>
}

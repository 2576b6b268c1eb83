import type { IDisposable } from '../../kernel/IDisposable.js'

/** Runs the samples that this entry owns and records them in the log. */
export interface IStepRunner extends IDisposable {
  /** Samples that run or wait for the log; a drain ends when it is 0. */
  readonly inProgressCount: number
  start (): void
}

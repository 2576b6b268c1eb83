import type { IDisposable } from '../../kernel/IDisposable.js'

/** Generates the samples that this entry owns and appends them to the log. */
export interface IStepRunner extends IDisposable {
  /** Number of samples that are running or not yet read back from the log; a drain ends when it is 0. */
  readonly inProgressCount: number
  start (): void
}

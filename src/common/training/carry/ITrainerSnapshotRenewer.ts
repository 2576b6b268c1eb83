import type { IDisposable } from '../../kernel/IDisposable.js'

/** Repeats the state of trainers in the log before retention removes the records that it came from. */
export interface ITrainerSnapshotRenewer extends IDisposable {
  start (): void
}

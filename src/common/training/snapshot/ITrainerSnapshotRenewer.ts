import type { IDisposable } from '../../kernel/IDisposable.js'

/** Appends snapshots of each trainer's state to the log before retention removes the records that it was built from. */
export interface ITrainerSnapshotRenewer extends IDisposable {
  start (): void
}

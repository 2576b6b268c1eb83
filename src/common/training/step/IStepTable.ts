import type { IEvent } from '../../kernel/IEvent.js'
import type { ILogFold } from '../../log/ILogFold.js'
import type { GroupSpec } from '../../schema/GroupSpec.js'
import type { TrainerState } from './TrainerState.js'

/** State of all trainers, folded from the `steps` stream. */
export interface IStepTable extends ILogFold {
  /** Fires with the organisation and trainer whose state may have changed. */
  readonly onChange: IEvent<{ organisation: string, trainer: string }>
  /** Fires when an entry requests snapshots after a gap, with the offset of its `want` record. */
  readonly onSnapshotRequest: IEvent<number>
  /** Offset after the last applied record. */
  readonly nextOffset: number
  /** True from a retention gap until `declareComplete` is called. */
  readonly hasGap: boolean
  /** False while records of the trainer may be missing. */
  isComplete (organisation: string, trainer: string): boolean
  /** State of a trainer; undefined when the trainer is unknown or its state is incomplete. */
  get (organisation: string, trainer: string): TrainerState | undefined
  /**
   * All trainers with complete state. `neededSinceMs` is the log time of the oldest record that is needed to rebuild the
   * state. The newest snapshot covers every record below `snapshotOffset`, which is -1 without a snapshot.
   */
  all (): { state: TrainerState, neededSinceMs: number, snapshotOffset: number }[]
  /** Digest by which resubmissions of a step are compared. */
  digest (groups: GroupSpec[]): string
  /** Ends the wait for snapshots after a gap: the state of trainers without one is built from the records read since the gap. */
  declareComplete (): void
}

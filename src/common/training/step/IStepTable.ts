import type { IEvent } from '../../kernel/IEvent.js'
import type { ILogFold } from '../../log/ILogFold.js'
import type { GroupSpec } from '../../schema/GroupSpec.js'
import type { TrainerState } from './TrainerState.js'

/** State of all trainers, folded from the `steps` stream. */
export interface IStepTable extends ILogFold {
  /** Fires with the organisation and trainer whose state may have changed. */
  readonly onChange: IEvent<{ organisation: string, trainer: string }>
  /** Fires when an entry asks for `carry` records, with the offset of its record. */
  readonly onSnapshotRequest: IEvent<number>
  /** Offset after the last applied record. */
  readonly nextOffset: number
  /** True after a retention gap until `declareComplete`. */
  readonly hasGap: boolean
  /** False while records of the trainer may be missing. */
  isComplete (organisation: string, trainer: string): boolean
  /** State of a trainer; undefined when it is unknown or incomplete. */
  get (organisation: string, trainer: string): TrainerState | undefined
  /** All trainers with complete state, and the log time since which their records are needed. */
  all (): { state: TrainerState, neededSinceMs: number, snapshotOffset: number }[]
  digest (groups: GroupSpec[]): string
  /** Ends the wait for `carry` records: trainers without one consist of the records that were read. */
  declareComplete (): void
}

import type { GroupSpec } from '../../schema/GroupSpec.js'
import type { Sample } from '../../schema/Sample.js'

/** A submitted group that its trainer has not acknowledged. */
export interface GroupState {
  step: number
  spec: GroupSpec
  submittedAtMs: number
  /** Offset of the record that completed or moved the group; absent while an index is open. */
  position?: number
  /**
   * Positions that the group has had, each with the offset of the record that ended it.
   * A trainer's cursor in such a range was issued by an entry that had not seen the end,
   * so that the trainer received the group at that position.
   */
  formerPositions: { from: number, to: number }[]
  /** Current attempt by index. */
  attempts: number[]
  /** Accepted samples by index; undefined while the index is open. */
  samples: (Sample | undefined)[]
}

import type { GroupSpec } from '../../schema/GroupSpec.js'
import type { Sample } from '../../schema/Sample.js'

/** Submitted group that its trainer has not acknowledged. */
export interface GroupState {
  step: number
  spec: GroupSpec
  submittedAtMs: number
  /** Offset of the record that completed the group or gave it a new position; absent while it has none. */
  position?: number
  /**
   * Former positions of the group (`from`), each with the offset of the record that ended it (`to`, exclusive).
   * A cursor within such a range was issued by an entry that had not read the ending record yet,
   * which means that the trainer received the group at that position.
   */
  formerPositions: { from: number, to: number }[]
  /** Number of the current attempt by index. */
  attempts: number[]
  /** Accepted samples by index; undefined while the index is open. */
  samples: (Sample | undefined)[]
}

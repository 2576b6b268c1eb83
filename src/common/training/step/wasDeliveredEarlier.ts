import type { GroupState } from './GroupState.js'

/** True when the cursor shows that the trainer received the group at a former position. */
export function wasDeliveredEarlier (group: GroupState, cursor: number): boolean {
  return group.formerPositions.some((range) => range.from <= cursor && cursor < range.to)
}

import type { GroupState } from './GroupState.js'

/** True when a trainer that states this cursor received the group at an earlier position. */
export function wasDeliveredEarlier (group: GroupState, cursor: number): boolean {
  return group.formerPositions.some((range) => range.from <= cursor && cursor < range.to)
}

import type { GroupState } from './GroupState.js'

/** True when every index of the group has an accepted sample. */
export function isGroupComplete (group: GroupState): boolean {
  return group.samples.every((sample) => sample !== undefined)
}

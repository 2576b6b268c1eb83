import type { DeliveryPlan } from './DeliveryPlan.js'
import type { GroupState } from './step/GroupState.js'
import type { StaleSample } from './step/StaleSample.js'
import type { TrainerState } from './step/TrainerState.js'
import { wasDeliveredEarlier } from './step/wasDeliveredEarlier.js'
import { isStale } from './step/isStale.js'
import { isGroupComplete } from './step/isGroupComplete.js'

/**
 * Decides the next action of a read at this cursor. A sample is stale if its oldest weight or KV cache
 * version is more than `stalenessBound` versions behind `newestVersion`.
 */
export function planDelivery (state: TrainerState, cursor: number, maxGroups: number, newestVersion: number, stalenessBound: number): DeliveryPlan {
  const groups = [...state.groups.values()]
  if (groups.some((group) => wasDeliveredEarlier(group, cursor))) return { kind: 'ack' }
  const completeWithoutPosition = groups.filter((group) => group.position === undefined && isGroupComplete(group))
  if (completeWithoutPosition.length > 0) return { kind: 'place', groups: completeWithoutPosition }
  const positioned = state.positionedGroupsAbove(cursor)
  const staleByGroup = positioned.map((group) => staleSamples(group, newestVersion, stalenessBound))
  const firstStaleIndex = staleByGroup.findIndex((samples) => samples.length > 0)
  // Stale samples of incomplete groups are reopened at once, so that they run in parallel with the open samples.
  const unpositioned = groups.filter((group) => group.position === undefined)
  const staleSamplesToReopen = [...staleByGroup.flat(), ...unpositioned.flatMap((group) => staleSamples(group, newestVersion, stalenessBound))]
  const chosen = positioned.slice(0, Math.min(Math.max(1, maxGroups), firstStaleIndex === -1 ? positioned.length : firstStaleIndex))
  const lastPosition = chosen.at(-1)?.position
  if (lastPosition === undefined) return staleSamplesToReopen.length > 0 ? { kind: 'expire', stale: staleSamplesToReopen } : { kind: 'wait' }
  const nextCursor = cursorOutsideFormerPositions(groups, cursor, Math.max(lastPosition, state.minNextCursor))
  const nextPosition = positioned[chosen.length]?.position ?? Infinity
  // The next cursor would also acknowledge a group that this read does not return.
  if (nextCursor >= nextPosition) return { kind: 'hold' }
  return { kind: 'deliver', groups: chosen, cursor: nextCursor, stale: staleSamplesToReopen }
}

/**
 * Lowest cursor from `minCursor` on that lies in none of the former position ranges above the cursor of the read.
 * A cursor within such a range would state that the trainer received the group at its former position.
 */
function cursorOutsideFormerPositions (groups: GroupState[], cursor: number, minCursor: number): number {
  const ranges = groups.flatMap((group) => group.formerPositions).filter((range) => range.from > cursor)
  let nextCursor = minCursor
  for (;;) {
    const range = ranges.find(({ from, to }) => from <= nextCursor && nextCursor < to)
    if (range === undefined) return nextCursor
    nextCursor = range.to
  }
}

function staleSamples (group: GroupState, newestVersion: number, stalenessBound: number): StaleSample[] {
  return group.samples
    .filter((sample) => sample !== undefined && isStale(sample.origin, newestVersion, stalenessBound))
    .map((sample) => ({ step: group.step, group: group.spec.group, index: sample?.index ?? 0, attempt: sample?.attempt ?? 0 }))
}

import type { DeliveryPlan } from './DeliveryPlan.js'
import type { GroupState } from './step/GroupState.js'
import type { StaleSample } from './step/StaleSample.js'
import type { TrainerState } from './step/TrainerState.js'
import { wasDeliveredEarlier } from './step/wasDeliveredEarlier.js'
import { isStale } from './step/isStale.js'
import { isGroupComplete } from './step/isGroupComplete.js'

/** Decides what a read with this cursor does next; `newest` and `bound` define staleness. */
export function planDelivery (state: TrainerState, cursor: number, max: number, newest: number, bound: number): DeliveryPlan {
  const groups = [...state.groups.values()]
  if (groups.some((group) => wasDeliveredEarlier(group, cursor))) return { kind: 'settle' }
  const unplaced = groups.filter((group) => group.position === undefined && isGroupComplete(group))
  if (unplaced.length > 0) return { kind: 'place', groups: unplaced }
  const ready = state.positionedGroupsAbove(cursor)
  const stale = ready.map((group) => staleSamples(group, newest, bound))
  const freshCount = stale.findIndex((samples) => samples.length > 0)
  // Stale samples of open groups are reopened while the others still run, not after the last one.
  const open = groups.filter((group) => group.position === undefined)
  const reopened = [...stale.flat(), ...open.flatMap((group) => staleSamples(group, newest, bound))]
  const chosen = ready.slice(0, Math.min(Math.max(1, max), freshCount === -1 ? ready.length : freshCount))
  const last = chosen.at(-1)?.position
  if (last === undefined) return reopened.length > 0 ? { kind: 'expire', stale: reopened } : { kind: 'wait' }
  const next = cursorOutsidePast(groups, cursor, last)
  const limit = ready[chosen.length]?.position ?? Infinity
  if (next >= limit) return { kind: 'hold' }
  return { kind: 'deliver', groups: chosen, cursor: next, stale: reopened }
}

/** Lowest cursor from `last` on that no group's past position range above the read's cursor contains. */
function cursorOutsidePast (groups: GroupState[], cursor: number, last: number): number {
  const ranges = groups.flatMap((group) => group.formerPositions).filter((range) => range.from > cursor)
  let next = last
  for (;;) {
    const range = ranges.find(({ from, to }) => from <= next && next < to)
    if (range === undefined) return next
    next = range.to
  }
}

function staleSamples (group: GroupState, newest: number, bound: number): StaleSample[] {
  return group.samples
    .filter((sample) => sample !== undefined && isStale(sample.origin, newest, bound))
    .map((sample) => ({ step: group.step, group: group.spec.group, index: sample?.index ?? 0, attempt: sample?.attempt ?? 0 }))
}

import type { Batch } from '../Batch.js'
import type { ItemState } from '../record/ItemState.js'
import type { LengthEstimator } from './LengthEstimator.js'
import { rankGroups } from './rankGroups.js'

/** A waiting item in dispatch order. */
interface RankedItem {
  batch: Batch
  state: ItemState
  remainingEvents: number
  /** Whether its group is among those that the trainer is expected to need. */
  isNeeded: boolean
}

/**
 * Returns the waiting items of one batch in dispatch order. A trainer continues once enough groups are complete,
 * so resubmitted groups and then those that can complete first are needed; the others are spare. Needed items are
 * ordered by remaining length, longest first, because the last one to complete determines when the trainer continues.
 */
export function rankItems (batch: Batch, estimator: LengthEstimator): RankedItem[] {
  const groups = rankGroups(batch, estimator)
  const needed = groups.slice(0, batch.spec.groupsWanted)
  const spare = groups.slice(batch.spec.groupsWanted)
  const collect = (part: ReturnType<typeof rankGroups>, isNeeded: boolean): RankedItem[] => part.flatMap(group => group.items
    .filter(state => state.status === 'waiting')
    .map(state => ({ batch, state, remainingEvents: estimator.remainingEvents(state), isNeeded })))
  const neededItems = collect(needed, true).sort((a, b) => b.remainingEvents - a.remainingEvents)
  return [...neededItems, ...collect(spare, false)]
}

import type { Batch } from '../Batch.js'
import type { ItemState } from '../record/ItemState.js'
import type { LengthEstimator } from './LengthEstimator.js'

/** An item in the order in which it should be sent. */
interface RankedItem {
  batch: Batch
  state: ItemState
  remainingEvents: number
  /** Whether its group is among those that the trainer is expected to wait for. */
  isNeeded: boolean
}

interface RankedGroup { items: ItemState[], isCarried: boolean, longest: number, total: number }

/**
 * Orders the waiting items of one batch. A trainer goes on when enough groups are whole, so the groups that
 * can be whole first are needed and the rest is spare. Among needed items the longest go first, because
 * the last item of the last needed group decides when the trainer goes on.
 */
export function rankItems (batch: Batch, estimator: LengthEstimator): RankedItem[] {
  const groups = [...batch.itemsByGroup.values()].map(items => rankGroup(batch, items, estimator))
  groups.sort((a, b) => Number(b.isCarried) - Number(a.isCarried) || a.longest - b.longest || a.total - b.total)
  const needed = groups.slice(0, batch.spec.groupsWanted)
  const spare = groups.slice(batch.spec.groupsWanted)
  const collect = (part: RankedGroup[], isNeeded: boolean): RankedItem[] => part.flatMap(group => group.items
    .filter(state => state.status === 'waiting')
    .map(state => ({ batch, state, remainingEvents: estimator.remainingEvents(state), isNeeded })))
  const first = collect(needed, true).sort((a, b) => b.remainingEvents - a.remainingEvents)
  return [...first, ...collect(spare, false)]
}

function rankGroup (batch: Batch, items: ItemState[], estimator: LengthEstimator): RankedGroup {
  const remaining = items.map(state => estimator.remainingEvents(state))
  return {
    items,
    isCarried: batch.resubmittedGroups.has(items[0]?.item.group ?? ''),
    longest: Math.max(...remaining),
    total: remaining.reduce((sum, events) => sum + events, 0)
  }
}

import type { Batch } from '../Batch.js'
import type { ItemState } from '../record/ItemState.js'
import type { LengthEstimator } from './LengthEstimator.js'

interface RankedGroup { items: ItemState[], isResubmitted: boolean, maxRemainingEvents: number, totalRemainingEvents: number }

/** Returns the groups of a batch, those first that its trainer is expected to need: resubmitted ones, then those that can complete first. */
export function rankGroups (batch: Batch, estimator: LengthEstimator): RankedGroup[] {
  const groups = [...batch.itemsByGroup.values()].map(items => rankGroup(batch, items, estimator))
  return groups.sort((a, b) => Number(b.isResubmitted) - Number(a.isResubmitted) || a.maxRemainingEvents - b.maxRemainingEvents || a.totalRemainingEvents - b.totalRemainingEvents)
}

function rankGroup (batch: Batch, items: ItemState[], estimator: LengthEstimator): RankedGroup {
  const remaining = items.map(state => estimator.remainingEvents(state))
  return {
    items,
    isResubmitted: batch.resubmittedGroups.has(items[0]?.item.group ?? ''),
    maxRemainingEvents: Math.max(...remaining),
    totalRemainingEvents: remaining.reduce((sum, events) => sum + events, 0)
  }
}

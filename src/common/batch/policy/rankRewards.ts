import type { Batch } from '../Batch.js'
import type { ItemState } from '../record/ItemState.js'

/** An item whose text is complete and waits for its reward call. */
interface WaitingReward { batch: Batch, state: ItemState }

/**
 * Orders the items that wait for a reward call. A trainer needs complete groups, so in each batch resubmitted groups
 * come first and then those with the fewest unfinished items; earlier batches are due first.
 */
export function rankRewards<T extends WaitingReward> (waiting: readonly T[]): T[] {
  const ranked = waiting.map(reward => ({
    reward,
    submittedAtMs: reward.batch.spec.submittedAtMs,
    isResubmitted: reward.batch.resubmittedGroups.has(reward.state.item.group),
    unfinished: countUnfinished(reward)
  }))
  ranked.sort((a, b) => a.submittedAtMs - b.submittedAtMs || Number(b.isResubmitted) - Number(a.isResubmitted) || a.unfinished - b.unfinished)
  return ranked.map(({ reward }) => reward)
}

/** Number of unfinished items in the group of an item. */
function countUnfinished ({ batch, state }: WaitingReward): number {
  const group = batch.itemsByGroup.get(state.item.group) ?? []
  return group.filter(({ status }) => status !== 'finished').length
}

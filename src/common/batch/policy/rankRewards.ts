import type { Batch } from '../Batch.js'
import type { ItemState } from '../record/ItemState.js'

/** An item whose text is complete and waits for its reward call. */
interface WaitingReward { batch: Batch, state: ItemState }

/**
 * Orders the items that wait for a reward call. A trainer needs complete groups, so in each batch resubmitted groups
 * come first and then those with the fewest unfinished items; earlier batches are due first.
 */
export function rankRewards<T extends WaitingReward> (waiting: readonly T[]): T[] {
  const unfinishedByGroup = new Map<ItemState[], number>()
  const keys = new Map(waiting.map(reward => [reward, rankOf(reward, unfinishedByGroup)] as const))
  return [...waiting].sort((a, b) => {
    const [keyA = [], keyB = []] = [keys.get(a), keys.get(b)]
    const difference = keyA.findIndex((value, index) => value !== keyB[index])
    return (keyA[difference] ?? 0) - (keyB[difference] ?? 0)
  })
}

function rankOf ({ batch, state }: WaitingReward, unfinishedByGroup: Map<ItemState[], number>): number[] {
  const group = batch.itemsByGroup.get(state.item.group) ?? []
  const unfinished = unfinishedByGroup.get(group) ?? group.filter(({ status }) => status !== 'finished').length
  unfinishedByGroup.set(group, unfinished)
  return [batch.spec.submittedAtMs, batch.resubmittedGroups.has(state.item.group) ? 0 : 1, unfinished]
}

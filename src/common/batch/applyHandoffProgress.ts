import type { HandoffProgress } from './record/HandoffProgress.js'
import type { IBatchStore } from './IBatchStore.js'
import type { ItemState } from './record/ItemState.js'

/**
 * Replaces the output of items with that of the previous leader where it is longer, and returns these items.
 * `beforeChange` is called before each one changes.
 */
export function applyHandoffProgress (batches: IBatchStore, progress: HandoffProgress, beforeChange: (state: ItemState) => void): ItemState[] {
  const changed: ItemState[] = []
  for (const { batchId, itemId, events, versions, isComplete } of progress) {
    const state = batches.find(batchId)?.find(itemId)
    if (state === undefined || state.status === 'finished' || state.status === 'scoring' || events.length <= state.progress.events.length) continue
    beforeChange(state)
    // These events come from other runs than the saved ones, so all of them have to be saved.
    state.resumeFrom({ events, versions, isComplete, lastEventId: events.length })
    changed.push(state)
  }
  return changed
}

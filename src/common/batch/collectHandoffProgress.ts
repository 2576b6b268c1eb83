import type { Batch } from './Batch.js'
import type { HandoffProgress } from './record/HandoffProgress.js'

/** Collects the output of all items of open batches that have no durable result. */
export function collectHandoffProgress (batches: Iterable<Batch>): HandoffProgress {
  const handoff: HandoffProgress = []
  for (const batch of batches) {
    if (batch.isEnded) continue
    const itemsWithResult = new Set(batch.results.map(result => result.itemId))
    for (const { item, progress } of batch.items) {
      if (progress.events.length === 0 || itemsWithResult.has(item.id)) continue
      handoff.push({ batchId: batch.spec.id, itemId: item.id, events: progress.events, versions: progress.versions, isComplete: progress.isComplete })
    }
  }
  return handoff
}

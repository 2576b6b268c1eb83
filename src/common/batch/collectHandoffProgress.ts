import type { Batch } from './Batch.js'
import type { HandoffProgress } from './record/HandoffProgress.js'

/** What has been generated of items whose results are not listed yet. */
export function collectHandoffProgress (batches: Iterable<Batch>): HandoffProgress {
  const left: HandoffProgress = []
  for (const batch of batches) {
    if (batch.isEnded) continue
    const listed = new Set(batch.results.map(result => result.itemId))
    for (const { item, progress } of batch.items) {
      if (progress.events.length === 0 || listed.has(item.id)) continue
      left.push({ batchId: batch.spec.id, itemId: item.id, events: progress.events, versions: progress.versions, isComplete: progress.isComplete })
    }
  }
  return left
}

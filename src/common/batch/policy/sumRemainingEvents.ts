import type { Batch } from '../Batch.js'
import type { LengthEstimator } from './LengthEstimator.js'

/** Number of events that the items of all open batches of a model are expected to generate yet. */
export function sumRemainingEvents (batches: Iterable<Batch>, model: string, estimator: LengthEstimator): number {
  let events = 0
  for (const batch of batches) {
    if (!batch.isOpen || batch.spec.model !== model) continue
    for (const state of batch.items) events += estimator.remainingEvents(state)
  }
  return events
}

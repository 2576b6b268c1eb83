import type { Batch } from '../Batch.js'

/** Items of a model that wait for an engine, and the oldest version that its newest open batch accepts. */
export function countWaitingItems (batches: Iterable<Batch>, model: string): { count: number, minVersion: number | undefined } {
  let count = 0
  let minVersion: number | undefined
  for (const batch of batches) {
    if (!batch.isOpen || batch.spec.model !== model) continue
    minVersion = Math.max(minVersion ?? 0, batch.spec.minVersion)
    for (const state of batch.items) if (state.status === 'waiting') count += 1
  }
  return { count, minVersion }
}

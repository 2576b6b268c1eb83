import { chooseService } from '../../routing/chooseService.js'
import type { IRouteTable } from '../../routing/IRouteTable.js'
import type { Batch } from '../Batch.js'

/**
 * Number of items of open batches that wait for a slot of a service, without those that are deferred after a failure.
 * Items that wait for a weight version count, since more engines would load it.
 */
export function countWaitingItemsOfService (batches: Iterable<Batch>, routes: IRouteTable, service: string): number {
  const nowMs = performance.now()
  let count = 0
  for (const batch of batches) {
    const route = batch.isOpen ? routes.find(batch.spec.host, batch.spec.path) : undefined
    if (route === undefined || route.kind !== 'batch' || chooseService(route, 0) !== service) continue
    for (const { status, notBeforeMs } of batch.items) if (status === 'waiting' && nowMs >= notBeforeMs) count += 1
  }
  return count
}

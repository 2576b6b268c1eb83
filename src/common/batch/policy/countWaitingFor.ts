import { chooseService } from '../../routing/chooseService.js'
import type { IRouteTable } from '../../routing/IRouteTable.js'
import type { Batch } from '../Batch.js'

/** Number of items of open batches that wait for a slot of a service. */
export function countWaitingFor (batches: Iterable<Batch>, routes: IRouteTable, service: string): number {
  let count = 0
  for (const batch of batches) {
    const route = batch.isOpen ? routes.find(batch.spec.host, batch.spec.path) : undefined
    if (route === undefined || chooseService(route, 0) !== service) continue
    for (const { status } of batch.items) if (status === 'waiting') count += 1
  }
  return count
}

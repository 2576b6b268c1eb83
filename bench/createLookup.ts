import type { Arrival } from './Arrival.js'

/** Creates a lookup, which is idempotent and may be retried. */
export function createLookup (id: number | string, organisation: Arrival['organisation'] = 'lin-shun', label = 'lookup'): Omit<Arrival, 'atMs'> {
  return { label, organisation, method: 'GET', path: `/v1/services/order-app/orders/${id}` }
}

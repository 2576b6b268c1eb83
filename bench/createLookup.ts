import type { Arrival } from './Arrival.js'

/** A lookup that may be repeated. */
export function createLookup (id: number | string, organisation: Arrival['organisation'] = 'lin-shun', label = 'lookup'): Omit<Arrival, 'atMs'> {
  return { label, organisation, method: 'GET', path: `/v1/services/order-app/orders/${id}` }
}

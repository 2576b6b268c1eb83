import type { Arrival } from './Arrival.js'

/** A lookup that may be repeated. */
export function lookup (id: number | string, customer: Arrival['customer'] = 'lin-shun', label = 'lookup'): Omit<Arrival, 'atMs'> {
  return { label, customer, method: 'GET', path: `/v1/services/order-app/orders/${id}` }
}

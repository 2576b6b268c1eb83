import { randomUUID } from 'node:crypto'
import type { Arrival } from './Arrival.js'

/** Creates a ticket, which must not run twice. Its key is random and independent of the seed, so that every round uses new keys. */
export function createTicket (id: number): Omit<Arrival, 'atMs'> {
  const body = JSON.stringify({ hood: id })
  const headers = { 'idempotency-key': randomUUID(), 'content-type': 'application/json' }
  return { label: 'ticket', organisation: 'lin-shun', method: 'POST', path: '/v1/services/order-app/tickets', headers, body }
}

import { randomUUID } from 'node:crypto'
import type { Arrival } from './Arrival.js'

/** A ticket that must not run twice. Its key is not drawn from the seed, because a run repeats no key. */
export function createTicket (id: number): Omit<Arrival, 'atMs'> {
  const body = JSON.stringify({ hood: id })
  const headers = { 'idempotency-key': randomUUID(), 'content-type': 'application/json' }
  return { label: 'ticket', organisation: 'lin-shun', method: 'POST', path: '/v1/services/order-app/tickets', headers, body }
}

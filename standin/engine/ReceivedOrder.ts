import type { z } from 'zod'
import type { orderSchema } from './orderSchema.js'

/** An order that the engine received, in the form that `GET /orders` returns. */
export interface ReceivedOrder {
  order: z.output<typeof orderSchema>
  received_at_ms: number
  outcome: 'stale_fence' | 'repeated' | 'pending' | 'done' | 'failed'
  finished_at_ms?: number
  error?: string
}

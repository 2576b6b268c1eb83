import { z } from 'zod'

/** Faults of the weight store. */
export const weightFaultsSchema = z.strictObject({
  /** Responds with 503 to all publications and loads. */
  outage: z.boolean().default(false),
  /** Sends half of the response to this many loads, then closes the connection. */
  fail_loads: z.int().min(0).default(0),
  /** Additional delay of each load. */
  slow_ms: z.int().min(0).default(0)
})

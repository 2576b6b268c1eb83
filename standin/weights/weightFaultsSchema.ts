import { z } from 'zod'

/** Faults of the weight store. */
export const weightFaultsSchema = z.strictObject({
  outage: z.boolean().default(false),
  /** Sends half of the answer of this many loads and resets the connection. */
  fail_loads: z.int().min(0).default(0),
  /** Added to the delay of each load. */
  slow_ms: z.int().min(0).default(0)
})

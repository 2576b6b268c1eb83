import { z } from 'zod'

/** Faults of the membership list. */
export const membershipFaultsSchema = z.strictObject({
  /** Responds with 503 to reads of the list. */
  outage: z.boolean().default(false),
  /** Delay of each read of the list. */
  slow_ms: z.int().min(0).default(0),
  /** Overrides the lag that was set on the command line. */
  lag_ms: z.int().min(0).optional()
})

import { z } from 'zod'

/** Faults of the membership list. */
export const membershipFaultsSchema = z.strictObject({
  /** Answers readers with 503. */
  outage: z.boolean().default(false),
  slow_ms: z.int().min(0).default(0),
  /** Replaces the lag of the command line. */
  lag_ms: z.int().min(0).optional()
})

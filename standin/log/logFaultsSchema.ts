import { z } from 'zod'

/** Faults of the log. */
export const logFaultsSchema = z.strictObject({
  /** Responds with 503 to all requests, including pending long-poll reads. */
  outage: z.boolean().default(false),
  /** Delays every request by this time before it is processed. */
  slow_ms: z.int().min(0).default(0),
  /** Applies this many appends, but resets the connection instead of sending the response. */
  lose_append_answers: z.int().min(0).default(0),
  /** Responds with 503 to appends without applying them; reads still work. */
  refuse_appends: z.boolean().default(false),
  /** Removes no records, whatever their age, from the moment at which it is set. */
  retention_paused: z.boolean().default(false)
})

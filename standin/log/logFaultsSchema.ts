import { z } from 'zod'

/** Faults of the log. */
export const logFaultsSchema = z.strictObject({
  /** Answers everything with 503, also long-poll reads that wait. */
  outage: z.boolean().default(false),
  /** Delays every request by this time before it takes effect. */
  slow_ms: z.int().min(0).default(0),
  /** Applies this many appends and resets the connection instead of answering. */
  lose_append_answers: z.int().min(0).default(0),
  /** Answers appends with 503 without applying them; reads go on. */
  refuse_appends: z.boolean().default(false)
})

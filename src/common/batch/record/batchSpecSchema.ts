import { z } from 'zod'

/** Schema of the head of a batch as stored. */
export const batchSpecSchema = z.object({
  id: z.string(),
  host: z.string(),
  /** Path of the submission, which selects the route. */
  path: z.string(),
  model: z.string(),
  step: z.number(),
  /** Oldest weight version that may generate an event of its results. */
  minVersion: z.number(),
  /** Number of whole groups for which the trainer waits. */
  groupsWanted: z.number(),
  itemCount: z.number(),
  /** Unix milliseconds. */
  submittedAtMs: z.number()
})

import { z } from 'zod'

/** Schema of the stored parameters of a batch. */
export const batchSpecSchema = z.object({
  id: z.string(),
  host: z.string(),
  /** Path of the submission, which selects the route. */
  path: z.string(),
  /** Organisation that submitted the batch; absent where none are configured. */
  organisation: z.string().optional(),
  /** Priority of that organisation, if it has one of its own; 0 is the highest. */
  priority: z.number().optional(),
  model: z.string(),
  /** Training step; later steps of the model may resubmit incomplete groups of earlier ones. */
  step: z.number(),
  /** Oldest weight version that may generate an event of its results. */
  minVersion: z.number(),
  /** Number of complete groups that the trainer waits for. */
  groupsWanted: z.number(),
  itemCount: z.number(),
  /** Unix milliseconds. */
  submittedAtMs: z.number()
})

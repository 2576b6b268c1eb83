import { z } from 'zod'

/** Schema of the progress of items that a leader passes to the next one. */
export const handoffProgressSchema = z.array(z.object({
  batchId: z.string(),
  itemId: z.string(),
  /** Data of all events in order. */
  events: z.array(z.string()),
  versions: z.array(z.number()),
  isComplete: z.boolean()
}))

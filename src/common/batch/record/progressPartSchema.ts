import { z } from 'zod'

/** Schema of a stored part of an item's progress. */
export const progressPartSchema = z.object({
  firstEventId: z.number().int(),
  /** Data of the events in order. */
  events: z.array(z.string()),
  /** All weight versions up to the last event of this part. */
  versions: z.array(z.number()),
  /** Whether the last event of this part is the last of the item. */
  isComplete: z.boolean().optional()
})

import { z } from 'zod'

/** Schema of stored progress. */
export const itemProgressSchema = z.object({
  /** Data of the events in order. */
  events: z.array(z.string()),
  /** Id of the last event; 0 before the first. */
  lastEventId: z.number(),
  versions: z.array(z.number()),
  isComplete: z.boolean()
})

import { z } from 'zod'
import { batchResultSchema } from './batchResultSchema.js'

/** Schema of the stored end of a batch. */
export const batchEndSchema = z.object({
  endedAtMs: z.number(),
  /** A later batch may resubmit these groups. */
  incompleteGroups: z.array(z.string()),
  /** Results that were durable at the end, by position up to the first gap; `null` at a gap in records of earlier versions. */
  results: z.array(batchResultSchema.nullable())
})

import { z } from 'zod'

/** Schema of a stored result; its text is stored in separate records. */
export const batchResultSchema = z.object({
  itemId: z.string(),
  state: z.enum(['completed', 'aborted']),
  /** All weight versions that generated an event of the text. */
  versions: z.array(z.number()),
  /** Score by the reward call of the item; absent if it has none or was aborted. */
  score: z.string().optional(),
  /** Number of records of the text; absent in records of earlier versions. */
  textRecords: z.number().int().optional()
})

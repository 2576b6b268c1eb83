import { z } from 'zod'
import { originRangeSchema } from './originRangeSchema.js'

/** One generated sample of a group. */
export const sampleSchema = z.object({
  index: z.int().min(0),
  attempt: z.int().min(0),
  text: z.string(),
  token_ids: z.array(z.int()),
  origin: z.array(originRangeSchema).min(1),
  reward: z.number().optional()
})

import { z } from 'zod'
import { originRangeSchema } from './originRangeSchema.js'
import { sampleFailureSchema } from './sampleFailureSchema.js'

/** One sample of a group: generated tokens with their origin, or a `failure` without tokens, origin or reward. */
export const sampleSchema = z.object({
  index: z.int().min(0),
  attempt: z.int().min(0),
  text: z.string(),
  token_ids: z.array(z.int()),
  origin: z.array(originRangeSchema),
  reward: z.number().optional(),
  failure: sampleFailureSchema.optional()
}).refine(({ failure, text, token_ids: tokens, origin, reward }) => failure === undefined
  ? origin.length > 0
  : text === '' && tokens.length === 0 && origin.length === 0 && reward === undefined,
'a sample has either an origin or a failure')

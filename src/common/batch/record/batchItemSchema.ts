import { z } from 'zod'
import { rewardCallSchema } from './rewardCallSchema.js'

/** Schema of a batch item, as submitted and as stored. */
export const batchItemSchema = z.object({
  id: z.string(),
  group: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.string(),
  /** The caller's estimate of the number of output tokens; accurate for the median item only. */
  lengthHintTokens: z.number().optional(),
  promptTokens: z.number(),
  /** Prompt tokens plus the maximum number of output tokens. */
  tokens: z.number(),
  /** Sent when the text is complete; its response scores the text. */
  rewardCall: rewardCallSchema.optional()
})

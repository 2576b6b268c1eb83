import { z } from 'zod'

/** Schema of an item as submitted and as stored. */
export const batchItemSchema = z.object({
  id: z.string(),
  group: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.string(),
  /** The caller's estimate of the number of output tokens; right at the median only. */
  lengthHintTokens: z.number().optional(),
  promptTokens: z.number(),
  /** Prompt tokens and most output tokens together. */
  tokens: z.number()
})

import { z } from 'zod'
import { commonFieldsSchema } from './commonFieldsSchema.js'
import { samplingSchema } from './samplingSchema.js'

/** Body of `POST /v1/chat/completions`. */
export const chatCompletionSchema = z.strictObject({
  ...commonFieldsSchema.shape,
  ...samplingSchema.shape,
  max_completion_tokens: z.int().min(1).max(1_000_000).optional(),
  messages: z.array(z.strictObject({
    role: z.enum(['system', 'developer', 'user', 'assistant']),
    content: z.string(),
    name: z.string().max(64).optional()
  })).min(1).max(10_000)
})

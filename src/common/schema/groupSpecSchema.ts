import { z } from 'zod'
import { identifierSchema } from './identifierSchema.js'

/** A group requested by a trainer: one prompt and the number of samples to generate. */
export const groupSpecSchema = z.object({
  group: identifierSchema,
  prompt: z.string().min(1).max(1_000_000),
  samples: z.int().min(1).max(1024),
  max_tokens: z.int().min(1).max(1_000_000)
})

import { z } from 'zod'
import { identifierSchema } from './identifierSchema.js'

/** A group of samples that a trainer asks for: one prompt, several samples. */
export const groupSpecSchema = z.object({
  group: identifierSchema,
  prompt: z.string().min(1).max(1_000_000),
  samples: z.int().min(1).max(1024),
  max_tokens: z.int().min(1).max(1_000_000)
})

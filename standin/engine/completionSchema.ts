import { z } from 'zod'

/** Body of a completion request; further sampling parameters are accepted and ignored. */
export const completionSchema = z.looseObject({
  model: z.string(),
  prompt: z.string(),
  /** Maximum length of the complete output, resumed tokens included. */
  max_tokens: z.int().min(1),
  stream: z.literal(true),
  /** Varies the tokens and the random output length of equal prompts. */
  seed: z.int().default(0),
  resume: z.object({ token_ids: z.array(z.int()) }).optional(),
  kv_handle: z.string().optional()
})

import { z } from 'zod'

/** Sampling parameters that are forwarded to the engine unchanged. */
export const samplingSchema = z.object({
  temperature: z.number().min(0).max(100).optional(),
  top_p: z.number().min(0).max(1).optional(),
  top_k: z.int().min(-1).max(1_000_000).optional(),
  min_p: z.number().min(0).max(1).optional(),
  presence_penalty: z.number().min(-2).max(2).optional(),
  frequency_penalty: z.number().min(-2).max(2).optional(),
  repetition_penalty: z.number().min(0).max(100).optional(),
  seed: z.int().optional(),
  stop: z.union([z.string().max(1000), z.array(z.string().max(1000)).max(16)]).optional()
})

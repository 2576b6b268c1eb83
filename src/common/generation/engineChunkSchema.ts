import { z } from 'zod'

/** One SSE chunk of an engine's completion stream. */
export const engineChunkSchema = z.object({
  choices: z.array(z.object({
    text: z.string().default(''),
    token_ids: z.array(z.int()).default([]),
    finish_reason: z.string().nullish()
  })),
  weights: z.object({
    version: z.int().min(0),
    kv_version: z.int().min(0),
    boot_id: z.string()
  }).nullish()
})

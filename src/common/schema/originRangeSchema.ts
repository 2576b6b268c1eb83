import { z } from 'zod'

/** Tokens `from` (inclusive) to `to` (exclusive) and the weights that produced them. */
export const originRangeSchema = z.object({
  from: z.int().min(0),
  to: z.int().min(1),
  version: z.int().min(0),
  /** Oldest version whose KV cache the tokens attend to. */
  kv_version: z.int().min(0)
})

import { z } from 'zod'

/** Token range `from` (inclusive) to `to` (exclusive) and the weight version that generated it. */
export const originRangeSchema = z.object({
  from: z.int().min(0),
  to: z.int().min(1),
  version: z.int().min(0),
  /** Oldest weight version in the KV cache that the tokens attend to. */
  kv_version: z.int().min(0)
})

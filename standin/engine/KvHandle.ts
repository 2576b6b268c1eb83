import { z } from 'zod'

const kvSchema = z.object({
  model: z.string(),
  /** Hash of the prompt that the cache belongs to. */
  prompt: z.string(),
  tokens: z.int(),
  kv_version: z.int()
})

/** Exported KV cache. The handle describes itself, so that any engine can import it. */
export const KvHandle = {
  encode: (kv: z.output<typeof kvSchema>): string => Buffer.from(JSON.stringify(kv)).toString('base64url'),
  /** Undefined for a handle that no engine made. */
  decode: (handle: string): z.output<typeof kvSchema> | undefined => {
    try {
      return kvSchema.parse(JSON.parse(Buffer.from(handle, 'base64url').toString()))
    } catch {
      return undefined
    }
  }
}

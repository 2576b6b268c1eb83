import { z } from 'zod'

const kvSchema = z.object({
  model: z.string(),
  /** Hash of the prompt that the cache was computed for. */
  prompt: z.string(),
  tokens: z.int(),
  kv_version: z.int()
})

/** Handle of an exported KV cache. It is self-contained, so that any engine can import it. */
export const KvHandle = {
  encode: (kv: z.output<typeof kvSchema>): string => Buffer.from(JSON.stringify(kv)).toString('base64url'),
  /** Undefined for a malformed handle. */
  decode: (handle: string): z.output<typeof kvSchema> | undefined => {
    try {
      return kvSchema.parse(JSON.parse(Buffer.from(handle, 'base64url').toString()))
    } catch {
      return undefined
    }
  }
}

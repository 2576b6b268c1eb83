import { z } from 'zod'

const MAX_ID_CHARS = 100
const MAX_HOST_CHARS = 253

/** Schema of a reward call, as submitted and as stored. */
export const rewardCallSchema = z.object({
  /** Request id of the call. */
  id: z.string().min(1).max(MAX_ID_CHARS).regex(/^[\x21-\x7e]+$/, 'must be printable and without spaces'),
  /** HTTP host; with the path it selects the route. */
  host: z.string().min(1).max(MAX_HOST_CHARS).regex(/^[\x21-\x7e]+$/, 'must be printable and without spaces'),
  path: z.string().regex(/^\/[\x21-\x7e]*$/, 'must start with a slash, and be printable and without spaces'),
  bodyBase64: z.base64()
})

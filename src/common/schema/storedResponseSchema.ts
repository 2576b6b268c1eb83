import { z } from 'zod'

/** Response of an upstream as stored in the log and returned to repetitions of the same request. */
export const storedResponseSchema = z.object({
  status: z.int(),
  headers: z.record(z.string(), z.string()),
  body_base64: z.string(),
  /** True when the body exceeded the size limit for stored responses and was omitted. */
  body_omitted: z.boolean().default(false)
})

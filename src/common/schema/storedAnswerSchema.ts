import { z } from 'zod'

/** An upstream's answer as kept in the log for repeats of the same request. */
export const storedAnswerSchema = z.object({
  status: z.int(),
  headers: z.record(z.string(), z.string()),
  body_base64: z.string(),
  /** True when the body exceeded the stored limit and was left out. */
  body_omitted: z.boolean().default(false)
})

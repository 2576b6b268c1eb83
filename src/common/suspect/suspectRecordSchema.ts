import { z } from 'zod'

/** Schema of the records of crashes and trials; what they are about is in their keys. */
export const suspectRecordSchema = z.object({
  /** Unix time of the crash or trial. */
  at_ms: z.number()
})

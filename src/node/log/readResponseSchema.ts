import { z } from 'zod'

/** Response of the log to a read. */
export const readResponseSchema = z.object({
  records: z.array(z.object({ offset: z.int().min(0), time_ms: z.number(), value: z.unknown() })),
  earliest_offset: z.int().min(0),
  next_offset: z.int().min(0)
})

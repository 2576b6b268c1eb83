import { z } from 'zod'

/** Response of the log to a read from an offset that is out of retention. */
export const gapResponseSchema = z.object({ earliest_offset: z.int().min(0), next_offset: z.int().min(0) })

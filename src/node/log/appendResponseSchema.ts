import { z } from 'zod'

/** Response of the log to an append. */
export const appendResponseSchema = z.object({ first_offset: z.int().min(0), next_offset: z.int().min(0) })

import type { z } from 'zod'
import type { storedResponseSchema } from './storedResponseSchema.js'

/** Response of an upstream as stored in the log. */
export type StoredResponse = z.infer<typeof storedResponseSchema>

import type { z } from 'zod'
import type { storedAnswerSchema } from './storedAnswerSchema.js'

/** Response of an upstream as stored in the log. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>

import type { z } from 'zod'
import type { storedAnswerSchema } from './storedAnswerSchema.js'

/** An upstream's answer as kept in the log. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>

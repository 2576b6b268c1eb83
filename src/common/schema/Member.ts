import type { z } from 'zod'
import type { memberSchema } from './memberSchema.js'

/** One host of the platform's membership list. */
export type Member = z.infer<typeof memberSchema>

import type { z } from 'zod'
import type { contractSchema } from './contractSchema.js'

/** An organisation's contract. */
export type Contract = z.infer<typeof contractSchema>

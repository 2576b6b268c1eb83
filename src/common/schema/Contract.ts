import type { z } from 'zod'
import type { contractSchema } from './contractSchema.js'

/** A customer's contract. */
export type Contract = z.infer<typeof contractSchema>

import type { z } from 'zod'
import type { workClassSchema } from './workClassSchema.js'

/** One work class of a contract. */
export type WorkClass = z.infer<typeof workClassSchema>

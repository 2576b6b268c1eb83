import type { z } from 'zod'
import type { batchEndSchema } from './batchEndSchema.js'

/** End of a batch, which takes over its results. */
export type BatchEnd = z.infer<typeof batchEndSchema>

import type { z } from 'zod'
import type { batchSpecSchema } from './batchSpecSchema.js'

/** Parameters of a batch that a trainer submits, without its items. */
export type BatchSpec = z.infer<typeof batchSpecSchema>

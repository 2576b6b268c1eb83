import type { z } from 'zod'
import type { batchItemSchema } from './batchItemSchema.js'

/** One generation of a batch. */
export type BatchItem = z.infer<typeof batchItemSchema>

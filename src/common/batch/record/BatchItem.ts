import type { z } from 'zod'
import type { batchItemSchema } from './batchItemSchema.js'

/** One generation request of a batch. */
export type BatchItem = z.infer<typeof batchItemSchema>

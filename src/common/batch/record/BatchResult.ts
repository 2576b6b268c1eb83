import type { z } from 'zod'
import type { batchResultSchema } from './batchResultSchema.js'

/** The final state of an item at its position in the batch. */
export type BatchResult = z.infer<typeof batchResultSchema> & { text: string }

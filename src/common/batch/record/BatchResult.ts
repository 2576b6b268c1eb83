import type { z } from 'zod'
import type { batchResultSchema } from './batchResultSchema.js'

/** Result of an item, with its output text. */
export type BatchResult = z.infer<typeof batchResultSchema> & { text: string }

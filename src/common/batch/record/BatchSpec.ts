import type { z } from 'zod'
import type { batchSpecSchema } from './batchSpecSchema.js'

/** What a trainer asks for with one batch, without its items. */
export type BatchSpec = z.infer<typeof batchSpecSchema>

import type { z } from 'zod'
import type { progressPartSchema } from './progressPartSchema.js'

/** Consecutive events of an item that were made durable together. */
export type ProgressPart = z.infer<typeof progressPartSchema>

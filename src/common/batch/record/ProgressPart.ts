import type { z } from 'zod'
import type { progressPartSchema } from './progressPartSchema.js'

/** Consecutive events of an item that are stored in one record. */
export type ProgressPart = z.infer<typeof progressPartSchema>

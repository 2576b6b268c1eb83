import type { z } from 'zod'
import type { sampleSchema } from './sampleSchema.js'

/** One generated sample of a group. */
export type Sample = z.infer<typeof sampleSchema>

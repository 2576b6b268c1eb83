import type { z } from 'zod'
import type { groupSpecSchema } from './groupSpecSchema.js'

/** A group of samples requested by a trainer. */
export type GroupSpec = z.infer<typeof groupSpecSchema>

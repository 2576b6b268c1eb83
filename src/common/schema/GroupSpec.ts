import type { z } from 'zod'
import type { groupSpecSchema } from './groupSpecSchema.js'

/** A group of samples that a trainer asks for. */
export type GroupSpec = z.infer<typeof groupSpecSchema>

import type { z } from 'zod'
import type { originRangeSchema } from './originRangeSchema.js'

/** A token range and the weight versions that generated it. */
export type OriginRange = z.infer<typeof originRangeSchema>

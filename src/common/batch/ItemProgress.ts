import type { z } from 'zod'
import type { itemProgressSchema } from './itemProgressSchema.js'

/** What has been generated of an item so far. */
export type ItemProgress = z.infer<typeof itemProgressSchema>

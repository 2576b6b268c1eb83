import type { z } from 'zod'
import type { leftProgressSchema } from './leftProgressSchema.js'

/** What a leader had generated and not yet listed when it lost the leadership. */
export type LeftProgress = z.infer<typeof leftProgressSchema>

import type { z } from 'zod'
import type { handoffProgressSchema } from './handoffProgressSchema.js'

/** What a leader had generated and not yet listed when it lost the leadership. */
export type HandoffProgress = z.infer<typeof handoffProgressSchema>

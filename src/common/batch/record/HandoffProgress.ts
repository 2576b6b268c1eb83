import type { z } from 'zod'
import type { handoffProgressSchema } from './handoffProgressSchema.js'

/** Output that had no durable result when a leader lost the leadership, for hand-off to the next leader. */
export type HandoffProgress = z.infer<typeof handoffProgressSchema>

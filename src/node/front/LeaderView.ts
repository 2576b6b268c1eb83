import type { z } from 'zod'
import type { leaderViewSchema } from './leaderViewSchema.js'

/** The leader as known to one entry. */
export type LeaderView = z.infer<typeof leaderViewSchema>

import type { z } from 'zod'
import type { leaderViewSchema } from './leaderViewSchema.js'

/** What an entry knows of the leader. */
export type LeaderView = z.infer<typeof leaderViewSchema>

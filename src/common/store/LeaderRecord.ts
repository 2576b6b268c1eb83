import type { z } from 'zod'
import type { leaderRecordSchema } from './leaderRecordSchema.js'

/** A claim, renewal or release of the leadership, as stored. */
export type LeaderRecord = z.infer<typeof leaderRecordSchema>

import type { z } from 'zod'
import type { leaderRecordSchema } from './leaderRecordSchema.js'

/** A claim, renewal or release of the leadership, as it lies in the store. */
export type LeaderRecord = z.infer<typeof leaderRecordSchema>

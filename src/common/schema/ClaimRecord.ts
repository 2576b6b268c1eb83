import type { z } from 'zod'
import type { claimRecordSchema } from './claimRecordSchema.js'

/** A record of the `claims` stream. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>

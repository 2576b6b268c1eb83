import type { z } from 'zod'
import type { contractRecordSchema } from './contractRecordSchema.js'

/** A record of the `contracts` stream. */
export type ContractRecord = z.infer<typeof contractRecordSchema>

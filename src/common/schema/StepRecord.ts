import type { z } from 'zod'
import type { stepRecordSchema } from './stepRecordSchema.js'

/** A record of the `steps` stream. */
export type StepRecord = z.infer<typeof stepRecordSchema>

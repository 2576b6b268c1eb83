import type { z } from 'zod'
import type { sampleFailureSchema } from './sampleFailureSchema.js'

/** Reason why a sample has no tokens. */
export type SampleFailure = z.infer<typeof sampleFailureSchema>

import type { z } from 'zod'
import type { trainerTermsSchema } from './trainerTermsSchema.js'

/** What a contract grants one trainer. */
export type TrainerTerms = z.infer<typeof trainerTermsSchema>

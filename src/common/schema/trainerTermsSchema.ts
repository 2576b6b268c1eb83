import { z } from 'zod'
import { identifierSchema } from './identifierSchema.js'

/** What a contract grants one trainer. */
export const trainerTermsSchema = z.strictObject({
  /** Service whose model engines generate the samples. */
  service: identifierSchema,
  /** Maximum staleness of a sample: number of versions that it may be behind the trainer's newest version. */
  staleness_versions: z.int().min(0).max(1000),
  /** Target time for all samples of a step to be complete. */
  step_deadline_s: z.int().min(1).max(86_400),
  /** Interval at which the trainer publishes new weights; used to plan rollouts. */
  weights_every_s: z.int().min(1).max(86_400),
  /** Plain service that scores samples; without it samples have no reward. */
  scorer: identifierSchema.optional(),
  max_tokens: z.int().min(1).max(1_000_000).default(4096)
})

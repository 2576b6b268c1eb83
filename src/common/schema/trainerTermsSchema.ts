import { z } from 'zod'
import { identifierSchema } from './identifierSchema.js'

/** What a contract grants one trainer. */
export const trainerTermsSchema = z.strictObject({
  /** Service of model engines that generate the samples. */
  service: identifierSchema,
  /** How many versions behind the trainer's newest version a sample may be. */
  staleness_versions: z.int().min(0).max(1000),
  /** Time within which the samples of a step should be whole. */
  step_deadline_s: z.int().min(1).max(86_400),
  /** How often the trainer publishes new weights; used to plan rollouts. */
  weights_every_s: z.int().min(1).max(86_400),
  /** Plain service that scores samples; samples carry no reward without it. */
  scorer: identifierSchema.optional(),
  max_tokens: z.int().min(1).max(1_000_000).default(4096)
})

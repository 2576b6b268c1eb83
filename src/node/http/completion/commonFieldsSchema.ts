import { z } from 'zod'
import { identifierSchema } from '../../../common/schema/identifierSchema.js'

const MAX_TOKENS = 1_000_000

/** Fields that both generation endpoints share, besides the sampling parameters. */
export const commonFieldsSchema = z.object({
  /** Name of a service of model engines. */
  model: identifierSchema,
  max_tokens: z.int().min(1).max(MAX_TOKENS).optional(),
  stream: z.boolean().default(false),
  stream_options: z.strictObject({ include_usage: z.boolean().default(false) }).optional(),
  /** One choice per request; groups of samples are requested through the trainer endpoints. */
  n: z.literal(1).optional(),
  user: z.string().max(1000).optional()
})

import { z } from 'zod'
import { identifierSchema } from './identifierSchema.js'

/** One work class of a contract: which calls it covers and the limits that apply to them. */
export const workClassSchema = z.strictObject({
  service: identifierSchema,
  /** `generation` requests are sent to model engines, `call` requests to plain services. */
  kind: z.enum(['generation', 'call']),
  /** HTTP methods of a `call`; empty means all. */
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).default([]),
  /** Path prefix of a `call`, below the service's root. */
  path: z.string().startsWith('/').default('/'),
  deadline_ms: z.int().min(10).max(86_400_000),
  /** `never`: a call of this class must not be executed twice. */
  repeat: z.enum(['allowed', 'never']).default('allowed'),
  /** Size class for scheduling: `long` requests leave capacity for `short` ones on each upstream. */
  size: z.enum(['short', 'long']).default('short'),
  /** Trainer whose newest weights a `generation` uses; the base model of the service if absent. */
  trainer: identifierSchema.optional(),
  /** Maximum number of tokens that one generation may request. */
  max_tokens: z.int().min(1).max(1_000_000).default(4096)
})

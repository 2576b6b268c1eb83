import { z } from 'zod'
import { identifierSchema } from './identifierSchema.js'

/** One work class of a contract: which calls it covers and the limits that apply to them. */
export const workClassSchema = z.strictObject({
  service: identifierSchema,
  /** `generation` goes to model engines, `call` to plain services. */
  kind: z.enum(['generation', 'call']),
  /** HTTP methods of a `call`; empty means all. */
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).default([]),
  /** Path prefix of a `call`, below the service's root. */
  path: z.string().startsWith('/').default('/'),
  deadline_ms: z.int().min(10).max(86_400_000),
  /** `never` means that a call of this class must not run twice. */
  repeat: z.enum(['allowed', 'never']).default('allowed'),
  /** Scheduling size: long work leaves room for short work on each upstream. */
  size: z.enum(['short', 'long']).default('short'),
  /** Trainer whose newest weights a `generation` uses; the service's base model without it. */
  trainer: identifierSchema.optional(),
  /** Upper bound of the tokens that one generation may ask for. */
  max_tokens: z.int().min(1).max(1_000_000).default(4096)
})

import { z } from 'zod'
import { acceptLegacyNames } from './acceptLegacyNames.js'
import { identifierSchema } from './identifierSchema.js'
import { trainerTermsSchema } from './trainerTermsSchema.js'
import { workClassSchema } from './workClassSchema.js'

/** An organisation's contract, the source of every limit that applies to the organisation. */
export const contractSchema = z.strictObject({
  contract: z.preprocess(acceptLegacyNames, z.strictObject({
    organisation: identifierSchema,
    /** Person who answers for this contract. */
    operator: z.string().min(1).max(100)
  })),
  access: z.strictObject({
    /** SHA-256 digests (hex) of the bearer tokens of this organisation's callers and trainers. */
    token_sha256: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hex')).min(1)
  }),
  limits: z.strictObject({
    /** Weight of the organisation in fair queueing. */
    share: z.int().min(1).max(1000).default(1),
    /** Requests of this organisation that one entry runs at once. */
    max_in_flight: z.int().min(1).max(100_000).default(256),
    /** Requests of this organisation that one entry queues. */
    max_queue: z.int().min(0).max(100_000).default(1024),
    /** Time during which an Idempotency-Key is remembered. */
    key_window_s: z.int().min(1).max(604_800).default(3600)
  }),
  work: z.record(identifierSchema, workClassSchema).default({}),
  trainer: z.record(identifierSchema, trainerTermsSchema).default({})
})

import { z } from 'zod'
import { acceptLegacyNames } from './acceptLegacyNames.js'
import { identifierSchema } from './identifierSchema.js'
import { storedResponseSchema } from './storedResponseSchema.js'

const claimKeyFields = {
  id: z.string(),
  organisation: identifierSchema,
  service: identifierSchema,
  /** `Idempotency-Key` header of the caller. */
  key: z.string().min(1).max(255)
}

/** Records of the `claims` stream. */
export const claimRecordSchema = z.preprocess(acceptLegacyNames, z.discriminatedUnion('type', [
  z.object({
    type: z.literal('claim'),
    ...claimKeyFields,
    body_sha256: z.string(),
    entry: z.string(),
    at_ms: z.number()
  }),
  z.object({ type: z.literal('result'), ...claimKeyFields, claim_id: z.string(), answer: storedResponseSchema }),
  z.object({ type: z.literal('release'), ...claimKeyFields, claim_id: z.string() }),
  z.object({
    type: z.literal('crash'),
    id: z.string(),
    upstream: z.string(),
    boot_id: z.string(),
    /** Fingerprints of the requests in flight on the upstream when it crashed. */
    fingerprints: z.array(z.string())
  })
]))

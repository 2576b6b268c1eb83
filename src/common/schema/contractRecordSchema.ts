import { z } from 'zod'
import { acceptLegacyNames } from './acceptLegacyNames.js'
import { identifierSchema } from './identifierSchema.js'

const revisionEntrySchema = z.object({
  revision: z.int().min(1),
  operator: z.string(),
  at_ms: z.number(),
  text: z.string()
})

/** Records of the `contracts` stream. */
export const contractRecordSchema = z.preprocess(acceptLegacyNames, z.discriminatedUnion('type', [
  z.object({
    type: z.literal('publish'),
    id: z.string(),
    organisation: identifierSchema,
    /** Revision that the operator edited; 0 for a first contract. */
    base_revision: z.int().min(0),
    operator: z.string(),
    at_ms: z.number(),
    /** Contract file as the operator wrote it (INI). */
    text: z.string()
  }),
  z.object({
    type: z.literal('snapshot'),
    id: z.string(),
    organisation: identifierSchema,
    /**
     * Read position of the writer when it built the snapshot: the last revision was in force there.
     * Absent when the writer itself did not know the complete state.
     */
    read_offset: z.int().min(0).optional(),
    /** Newest revisions in ascending order; the last one is in force. */
    revisions: z.array(revisionEntrySchema).min(1)
  })
]))

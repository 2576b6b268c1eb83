import { z } from 'zod'
import { acceptLegacyNames } from './acceptLegacyNames.js'
import { groupSpecSchema } from './groupSpecSchema.js'
import { identifierSchema } from './identifierSchema.js'
import { sampleSchema } from './sampleSchema.js'

const trainerFields = { id: z.string(), organisation: identifierSchema, trainer: identifierSchema }
const sampleFields = { step: z.int().min(0), group: identifierSchema }

/** Records of the `steps` stream. */
export const stepRecordSchema = z.preprocess(acceptLegacyNames, z.discriminatedUnion('type', [
  z.object({
    type: z.literal('submit'),
    ...trainerFields,
    step: z.int().min(0),
    groups: z.array(groupSpecSchema).min(1),
    at_ms: z.number()
  }),
  z.object({ type: z.literal('sample'), ...trainerFields, ...sampleFields, sample: sampleSchema }),
  z.object({
    /** Removes a stale sample, so that its index is generated again under the next attempt. */
    type: z.literal('expire'),
    ...trainerFields,
    ...sampleFields,
    index: z.int().min(0),
    attempt: z.int().min(0)
  }),
  z.object({ type: z.literal('ack'), ...trainerFields, cursor: z.int() }),
  z.object({ type: z.literal('weights'), ...trainerFields, version: z.int().min(0) }),
  z.object({
    /**
     * Ends the positions of all groups above a cursor; `place` records assign new ones. A read that stops
     * between groups after an expiry needs this, because its cursor must not lie within a former position range.
     */
    type: z.literal('hold'),
    ...trainerFields,
    cursor: z.int()
  }),
  /** Assigns the offset of this record as position to a complete group that has none. */
  z.object({ type: z.literal('place'), ...trainerFields, ...sampleFields }),
  z.object({
    /** First record of a snapshot of a trainer's state; `groups` records of type `carry_group` with the same `set` follow. */
    type: z.literal('carry'),
    ...trainerFields,
    set: z.string(),
    /** The snapshot includes every record below this offset. */
    as_of: z.int(),
    /** Newest weight version that the trainer has announced. */
    version: z.int().min(0),
    /** Position up to which the trainer has acknowledged groups. */
    cursor: z.int(),
    /** Lowest cursor that a read may return with groups; see `TrainerState.minNextCursor`. Earlier versions do not write it. */
    min_next_cursor: z.int().default(0),
    /** Steps up to this one are no longer accepted. */
    floor_step: z.int(),
    /** Accepted steps above `floor_step`, with the digest of their groups. */
    steps: z.array(z.object({ step: z.int().min(0), digest: z.string() })),
    groups: z.int().min(0)
  }),
  z.object({
    /** One unacknowledged group of a snapshot, with the samples generated so far. */
    type: z.literal('carry_group'),
    ...trainerFields,
    set: z.string(),
    step: z.int().min(0),
    spec: groupSpecSchema,
    submitted_at_ms: z.number(),
    /** Position of the group before the snapshot: the offset of the record that completed or placed it; absent while it has none. */
    position: z.int().optional(),
    /** Former positions of the group (`from`), each with the offset of the record that ended it (`to`, exclusive). */
    past: z.array(z.object({ from: z.int(), to: z.int() })),
    attempts: z.array(z.int().min(0)),
    samples: z.array(sampleSchema)
  }),
  /** Written by an entry whose read position is no longer retained, to request snapshots (`carry` records) of all trainers. */
  z.object({ type: z.literal('want'), id: z.string(), entry: z.string() })
]))

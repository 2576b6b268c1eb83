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
     * Takes the positions of all ready groups above a cursor; `place` records give them new ones. A read needs
     * this to stop between groups after an expiry, because its cursor must not lie in a past position range.
     */
    type: z.literal('hold'),
    ...trainerFields,
    cursor: z.int()
  }),
  /** Gives a whole group without a position the offset of this record as its position. */
  z.object({ type: z.literal('place'), ...trainerFields, ...sampleFields }),
  z.object({
    /** Head of a carried state; `groups` records of type `carry_group` with the same `set` complete it. */
    type: z.literal('carry'),
    ...trainerFields,
    set: z.string(),
    /** The state covers every record below this offset. */
    as_of: z.int(),
    /** Newest version the trainer has announced. */
    version: z.int().min(0),
    /** Position up to which the trainer has acknowledged groups. */
    cursor: z.int(),
    /** Steps up to this one are no longer accepted. */
    floor_step: z.int(),
    /** Steps accepted above the floor, with the digest of their groups. */
    steps: z.array(z.object({ step: z.int().min(0), digest: z.string() })),
    groups: z.int().min(0)
  }),
  z.object({
    /** One group that is not acknowledged yet, with its samples so far. */
    type: z.literal('carry_group'),
    ...trainerFields,
    set: z.string(),
    step: z.int().min(0),
    spec: groupSpecSchema,
    submitted_at_ms: z.number(),
    /** Original position of the completing record; absent while the group is not whole. */
    position: z.int().optional(),
    /** Positions that the group has had, each with the offset of the record that ended it. */
    past: z.array(z.object({ from: z.int(), to: z.int() })),
    attempts: z.array(z.int().min(0)),
    samples: z.array(sampleSchema)
  }),
  /** An entry whose read position fell out of retention asks for `carry` records of all trainers. */
  z.object({ type: z.literal('want'), id: z.string(), entry: z.string() })
]))

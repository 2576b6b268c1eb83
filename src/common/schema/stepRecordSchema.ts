import { z } from 'zod'
import { groupSpecSchema } from './groupSpecSchema.js'
import { identifierSchema } from './identifierSchema.js'
import { sampleSchema } from './sampleSchema.js'

const trainerFields = { id: z.string(), customer: identifierSchema, trainer: identifierSchema }
const sampleFields = { step: z.int().min(0), group: identifierSchema }

/** Records of the `steps` stream. */
export const stepRecordSchema = z.discriminatedUnion('type', [
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
    type: z.literal('carry'),
    ...trainerFields,
    /** Newest version the trainer has announced. */
    version: z.int().min(0),
    /** Position up to which the trainer has acknowledged groups. */
    cursor: z.int(),
    /** Newest step accepted, so that an old submission is not accepted again. */
    last_step: z.int(),
    /** Groups not acknowledged yet, with their samples so far. */
    groups: z.array(z.object({
      step: z.int().min(0),
      spec: groupSpecSchema,
      submitted_at_ms: z.number(),
      /** Original position of the completing record; absent while the group is not whole. */
      position: z.int().optional(),
      attempts: z.array(z.int().min(0)),
      samples: z.array(sampleSchema)
    }))
  })
])

import { z } from 'zod'
import { sampleSchema } from '../../src/common/schema/sampleSchema.js'

/** Response to a trainer's read of groups. */
export const groupsResponseSchema = z.object({
  groups: z.array(z.object({
    step: z.int(),
    group: z.string(),
    position: z.int(),
    samples: z.array(sampleSchema)
  })),
  cursor: z.int()
})

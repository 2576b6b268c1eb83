import { z } from 'zod'
import { groupSpecSchema } from '../../../common/schema/groupSpecSchema.js'
import { identifierSchema } from '../../../common/schema/identifierSchema.js'

const integer = (min: number, max: number): z.ZodInt => z.int().min(min).max(max)
const queryInteger = (min: number, max: number, defaultValue: string): z.ZodType<number> =>
  z.string().regex(/^-?\d{1,16}$/, 'must be an integer').default(defaultValue).transform(Number).pipe(integer(min, max))

// Cursor of a trainer that has received no group: one below the first offset of the log.
const MIN_CURSOR = -1
const MAX_WAIT_MS = 60_000

/** Schemas of path parameters, queries and bodies of the trainer endpoints. */
export const trainerSchemas = {
  trainer: z.object({ trainer: identifierSchema }),
  step: z.strictObject({
    step: integer(0, Number.MAX_SAFE_INTEGER),
    groups: z.array(groupSpecSchema.strict()).min(1).max(4096)
  }),
  read: z.strictObject({
    cursor: queryInteger(MIN_CURSOR, Number.MAX_SAFE_INTEGER, '-1'),
    version: queryInteger(0, Number.MAX_SAFE_INTEGER, '0'),
    max: queryInteger(1, 1024, '16'),
    wait_ms: queryInteger(0, MAX_WAIT_MS, '0')
  }),
  ack: z.strictObject({ cursor: integer(MIN_CURSOR, Number.MAX_SAFE_INTEGER) }),
  weights: z.strictObject({ version: integer(0, Number.MAX_SAFE_INTEGER) })
}

import type { z } from 'zod'
import type { leaseRecordSchema } from './leaseRecordSchema.js'

/** A record of the `leases` stream. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>

import { z } from 'zod'

const leaseFields = { id: z.string(), name: z.string(), holder: z.string() }

/** Records of the `leases` stream. */
export const leaseRecordSchema = z.discriminatedUnion('type', [
  /** Acquires the lease if it is free; the offset of the record becomes the fencing token. */
  z.object({ type: z.literal('lease'), ...leaseFields, lease_ms: z.int().min(1) }),
  /** Extends the lease of its holder; `fence` is the fencing token of the lease. */
  z.object({ type: z.literal('renew'), ...leaseFields, fence: z.int() }),
  /** Releases the lease before it expires. */
  z.object({ type: z.literal('yield'), ...leaseFields, fence: z.int() })
])

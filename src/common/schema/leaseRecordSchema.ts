import { z } from 'zod'

const leaseFields = { id: z.string(), name: z.string(), holder: z.string() }

/** Records of the `leases` stream. */
export const leaseRecordSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('lease'), ...leaseFields, lease_ms: z.int().min(1) }),
  z.object({ type: z.literal('renew'), ...leaseFields, fence: z.int() }),
  z.object({ type: z.literal('yield'), ...leaseFields, fence: z.int() })
])

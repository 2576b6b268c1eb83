import type { z } from 'zod'
import type { usageReceiptSchema } from './usageReceiptSchema.js'

/** Response of the holder to a contribution. */
export type UsageReceipt = z.output<typeof usageReceiptSchema>

import { z } from 'zod'

/** Content of a record of the usage reports in the store. */
export const usageRecordSchema = z.union([
  /** The counts of a window, which no longer change. */
  z.object({ state: z.literal('committed'), counts: z.record(z.string(), z.number()) }),
  /** The report was accepted, or is too old to be sent. */
  z.object({ state: z.enum(['sent', 'abandoned']) }),
  /** Windows before this one have no records any more, and are not committed again. */
  z.object({ firstWindow: z.number() })
])

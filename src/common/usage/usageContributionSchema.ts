import { z } from 'zod'

/** More windows than an entry keeps. */
const MAX_WINDOWS = 100
const MAX_ORGANISATIONS = 10_000

const countSchema = z.number().int().min(0)
const windowSchema = z.number().int().min(0)

/** What an entry sends to the holder of the usage reports. */
export const usageContributionSchema = z.object({
  entry: z.string().min(1).max(200),
  /** Distinguishes the processes that an entry has had. */
  process: z.string().min(1).max(100),
  /** The entry's wall clock when it sent this. */
  sentAtUnixMs: z.number(),
  windows: z.array(z.object({
    window: windowSchema,
    counts: z.record(z.string(), countSchema).refine(counts => Object.keys(counts).length <= MAX_ORGANISATIONS, 'too many organisations')
  })).max(MAX_WINDOWS),
  /** Windows that were taken from this entry earlier, and whose commit it does not know of. */
  unconfirmed: z.array(windowSchema).max(MAX_WINDOWS)
})

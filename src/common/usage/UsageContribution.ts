import type { z } from 'zod'
import type { usageContributionSchema } from './usageContributionSchema.js'

/** What an entry sends to the holder of the usage reports. */
export type UsageContribution = z.output<typeof usageContributionSchema>

import type { z } from 'zod'
import type { rewardCallSchema } from './rewardCallSchema.js'

/** Idempotent request to a reward service that scores the text of an item once the text is complete. */
export type RewardCall = z.infer<typeof rewardCallSchema>

import { z } from 'zod'

/** Schema of an entry's answer to who leads. */
export const leaderViewSchema = z.object({
  /** Epoch of the newest leader that the entry has read of. */
  epoch: z.number().int().optional()
})

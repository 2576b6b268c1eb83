import { z } from 'zod'

/** Schema of an entry's answer to who leads. */
export const leaderViewSchema = z.object({
  /** Epoch of the newest leader that the entry has read of. */
  epoch: z.number().int().optional(),
  /** `ip:port` of that leader, unless it has released the leadership. */
  address: z.string().optional(),
  /** Whether the entry leads and has restored the batches. */
  isServing: z.boolean()
})

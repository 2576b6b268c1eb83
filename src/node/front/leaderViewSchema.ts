import { z } from 'zod'

/** Schema of an entry's response to a request for its view of the leader. */
export const leaderViewSchema = z.object({
  /** Epoch of the latest leader known to the entry. */
  epoch: z.number().int().optional(),
  /** `ip:port` of that leader, unless it has released the leadership. */
  address: z.string().optional(),
  /** Whether the entry itself is the leader and has restored the batches. */
  isServing: z.boolean()
})

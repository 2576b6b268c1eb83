import { z } from 'zod'

/** Schema of the leadership records. */
export const leaderRecordSchema = z.object({
  /** Identifies one incarnation of an entry. */
  holder: z.string(),
  /** `ip:port` at which other entries reach the holder. */
  address: z.string(),
  /** Offset of the claim; absent in the claim itself. */
  epoch: z.number().int().optional(),
  /** Sequence number of this record among those of the holder. */
  sequence: z.number().int(),
  released: z.boolean().optional()
})

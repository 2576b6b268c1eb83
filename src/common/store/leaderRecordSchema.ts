import { z } from 'zod'

/** Schema of the leadership records. */
export const leaderRecordSchema = z.object({
  /** One life of one process. */
  holder: z.string(),
  /** `ip:port` at which the other entries reach the holder. */
  address: z.string(),
  /** Offset of the claim; absent in the claim itself. */
  epoch: z.number().int().optional(),
  /** Number of this record among those of the holder. */
  sequence: z.number().int(),
  released: z.boolean().optional()
})

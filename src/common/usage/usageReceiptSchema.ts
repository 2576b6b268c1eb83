import { z } from 'zod'

const windowsSchema = z.array(z.number().int())

/** Response of the holder to a contribution. Windows that it does not name have to be sent again later. */
export const usageReceiptSchema = z.object({
  epoch: z.number(),
  /** That of the contribution, which it identifies. */
  sentAtUnixMs: z.number(),
  /** The holder's estimate of true time. */
  unixMs: z.number(),
  /** Windows whose counts the holder has, and will commit. */
  taken: windowsSchema,
  /** Windows whose report is durable. */
  committed: windowsSchema,
  /** Windows that this holder does not add to: far from its time, or closed and not yet committed. */
  refused: windowsSchema
})

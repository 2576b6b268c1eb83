import { z } from 'zod'

/** Faults of a trainer. */
export const trainerFaultsSchema = z.strictObject({
  /** Neither submits, reads nor acknowledges; weights go on. */
  paused: z.boolean().default(false),
  /** Discards this many whole read answers, as if they were cut off, and reads again. */
  drop_read_answers: z.int().min(0).default(0),
  /** Publishes no further weights. */
  hold_weights: z.boolean().default(false)
})

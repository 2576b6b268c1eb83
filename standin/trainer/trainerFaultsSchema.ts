import { z } from 'zod'

/** Faults of a trainer. */
export const trainerFaultsSchema = z.strictObject({
  /** Pauses submissions, reads and acknowledgements; weights are still published. */
  paused: z.boolean().default(false),
  /** Discards this many complete read responses, as if they had been truncated, and reads again. */
  drop_read_answers: z.int().min(0).default(0),
  /** Publishes no further versions. */
  hold_weights: z.boolean().default(false)
})

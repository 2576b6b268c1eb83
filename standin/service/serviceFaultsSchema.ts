import { z } from 'zod'

/** Faults of a plain service. Counts are used up by one request each. */
export const serviceFaultsSchema = z.strictObject({
  /** Multiplies the service time. */
  slow_factor: z.number().positive().default(1),
  /** Accepts requests but neither runs nor answers them until the fault is cleared. */
  freeze: z.boolean().default(false),
  /** Runs the request, then resets the connection. */
  reset_before_answer: z.int().min(0).default(0),
  /** Answers with half of the body that Content-Length promises, then closes. */
  truncate: z.int().min(0).default(0),
  /** Answers half of the body without Content-Length or chunking, then closes. */
  close_delimited: z.int().min(0).default(0),
  /** Answers with body and x-request-id of the request that finished before. */
  swap_answers: z.boolean().default(false),
  /** Answers 503 without running the request. */
  reject_503: z.int().min(0).default(0),
  /** The load report says `leaving`. */
  leaving: z.boolean().default(false)
})

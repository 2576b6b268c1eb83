import { z } from 'zod'

/** Faults of a plain service. A count is the number of requests that are still to be affected. */
export const serviceFaultsSchema = z.strictObject({
  /** Multiplies the service time. */
  slow_factor: z.number().positive().default(1),
  /** Accepts requests, but neither runs them nor responds until the fault is cleared. */
  freeze: z.boolean().default(false),
  /** Runs the request, then resets the connection. */
  reset_before_answer: z.int().min(0).default(0),
  /** Sends half of the body that Content-Length announces, then closes the connection. */
  truncate: z.int().min(0).default(0),
  /** Sends half of the body without Content-Length or chunked encoding, then closes the connection. */
  close_delimited: z.int().min(0).default(0),
  /** Sends the response with a status that is not valid in HTTP. */
  status_000: z.int().min(0).default(0),
  status_600: z.int().min(0).default(0),
  /** Responds with body and x-request-id of the previously finished request. */
  swap_answers: z.boolean().default(false),
  /** Responds with 503 without running the request. */
  reject_503: z.int().min(0).default(0),
  /** Reports the state `leaving` in the load report. */
  leaving: z.boolean().default(false)
})

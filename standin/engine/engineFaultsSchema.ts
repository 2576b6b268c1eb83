import { z } from 'zod'

/** Faults of an engine. A count is the number of requests or loads that are still to be affected. */
export const engineFaultsSchema = z.strictObject({
  /** Divides the token and prefill rates. */
  slow_factor: z.number().positive().default(1),
  /** Stops generation and blocks all requests until the fault is cleared. */
  freeze: z.boolean().default(false),
  /** Exits the process with code 1 right after the response to this request. */
  crash: z.boolean().default(false),
  /** Ends this many streams halfway, as well-formed HTTP responses without finish reason and `[DONE]` event. */
  truncate_streams: z.int().min(0).default(0),
  /** Reports loads as done but keeps using the old weights. */
  skip_load: z.boolean().default(false),
  /** Fails this many loads after the weights have been fetched. */
  fail_loads: z.int().min(0).default(0),
  /** Omits the version stamps from the chunks. */
  unstamped: z.boolean().default(false),
  /** Reports the state `leaving` in the load report. */
  leaving: z.boolean().default(false),
  /** Resets the connection of each stream that has sent this many tokens; 0 disables it. */
  drop_after_tokens: z.int().min(0).default(0),
  /** Does not evict cached prefixes of the old weights on a load, so that new requests attend to stale KV cache. */
  keep_cache_on_load: z.boolean().default(false)
})

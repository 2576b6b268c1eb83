import { z } from 'zod'

/** Faults of an engine. Counts are used up by one request each. */
export const engineFaultsSchema = z.strictObject({
  /** Divides the token and prefill rates. */
  slow_factor: z.number().positive().default(1),
  /** Stops generation and holds every request until the fault is cleared. */
  freeze: z.boolean().default(false),
  /** Ends the process with exit code 1 right after the answer. */
  crash: z.boolean().default(false),
  /** Ends this many streams halfway in good HTTP form but without finish reason and end mark. */
  truncate_streams: z.int().min(0).default(0),
  /** Reports loads as done while the old weights stay in use. */
  skip_load: z.boolean().default(false),
  /** Fails this many loads after the weights were fetched. */
  fail_loads: z.int().min(0).default(0),
  /** Leaves the version stamps out of the chunks. */
  unstamped: z.boolean().default(false),
  /** The load report says `leaving`. */
  leaving: z.boolean().default(false),
  /** Resets the connection of each stream that has sent this many tokens; 0 switches it off. */
  drop_after_tokens: z.int().min(0).default(0),
  /** Keeps cached prefixes of the old weights on a load, so that new requests attend to old KV cache. */
  keep_cache_on_load: z.boolean().default(false)
})

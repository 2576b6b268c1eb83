import { z } from 'zod'

/** Faults of one route of the fault proxy. */
export const routeFaultsSchema = z.strictObject({
  /** Delay of each piece of data, in both directions. */
  delay_ms: z.int().min(0).default(0),
  /** Bytes per second per connection and direction; 0 means no limit. */
  throttle_bytes_per_s: z.int().min(0).default(0),
  /** Closes connections and refuses new ones. */
  cut: z.boolean().default(false),
  /** Resets connections and also new ones as soon as they are accepted. */
  reset: z.boolean().default(false),
  /** Holds all data back until the fault is cleared; connections stay open. */
  freeze: z.boolean().default(false),
  /** Discards what flows in one direction; connections stay open. */
  one_way_cut: z.enum(['none', 'to_target', 'to_client']).default('none'),
  /** Closes the direction towards the client; the other one stays open. */
  half_close: z.boolean().default(false),
  /** Lets the request through, discards this many answers and closes their connections. */
  drop_answers: z.int().min(0).default(0),
  /** UDP only: loses every n-th datagram; 1 loses all, 0 none. */
  lose_every: z.int().min(0).default(0)
})

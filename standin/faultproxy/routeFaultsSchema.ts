import { z } from 'zod'

/** Faults of a route of the fault proxy. */
export const routeFaultsSchema = z.strictObject({
  /** Delay of each chunk of data, in both directions. */
  delay_ms: z.int().min(0).default(0),
  /** Bytes per second per connection and direction; 0 means no limit. */
  throttle_bytes_per_s: z.int().min(0).default(0),
  /** Closes connections and refuses new ones. */
  cut: z.boolean().default(false),
  /** Resets open connections, and new ones as soon as they are accepted. */
  reset: z.boolean().default(false),
  /** Holds all data until the fault is cleared; connections stay open. For UDP, drops the datagrams. */
  freeze: z.boolean().default(false),
  /** Discards the data in one direction; connections stay open. */
  one_way_cut: z.enum(['none', 'to_target', 'to_client']).default('none'),
  /** Closes the direction to the client; the other one stays open. */
  half_close: z.boolean().default(false),
  /** Forwards the requests, but discards this many responses and closes their connections. */
  drop_answers: z.int().min(0).default(0),
  /** UDP only: drops every n-th datagram; 1 drops all, 0 none. */
  lose_every: z.int().min(0).default(0)
})

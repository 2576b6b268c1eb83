/** A service of a cluster: how many upstreams to start and what the entries' settings say of it. */
export interface ServiceOptions {
  kind: 'engine' | 'plain'
  count: number
  /** Flags of each stand-in by its index from 0, for example `{ 'tokens-per-second': 100 }`. */
  flags?: (index: number) => Record<string, string | number | boolean>
  /** Whether engines check fencing numbers and the settings say so; default true. */
  checksFence?: boolean
  swapParallel?: number
  balancer?: 'random' | 'round-robin' | 'least-outstanding' | 'expected-wait'
  admission?: 'bounded' | 'unbounded'
  hedging?: boolean
  swapOrder?: 'planned' | 'listed'
}

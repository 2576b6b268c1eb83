/** A service of a cluster: its upstreams and its settings in the entries. */
export interface ServiceOptions {
  kind: 'engine' | 'plain'
  count: number
  /** Returns the command line flags of the stand-in with an index (from 0), for example `{ 'tokens-per-second': 100 }`. */
  flags?: (index: number) => Record<string, string | number | boolean>
  /** Whether engines check fencing tokens and the settings declare that they do; default true. */
  checksFence?: boolean
  /** How many engines load a new weight version at once; default 2. */
  swapParallel?: number
  balancer?: 'random' | 'round-robin' | 'least-outstanding' | 'expected-wait'
  admission?: 'bounded' | 'unbounded'
  hedging?: boolean
  swapOrder?: 'planned' | 'listed'
}

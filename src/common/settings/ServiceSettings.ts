/** Settings of one service. */
export interface ServiceSettings {
  name: string
  kind: 'engine' | 'plain'
  /** True when the upstreams reject load orders with an outdated fencing token. */
  checksFence: boolean
  /** `ip:port` addresses of upstreams that may receive load orders although they do not check fencing tokens. */
  orderAddresses: string[]
  /** Maximum number of engines of the service that load weights concurrently. */
  swapParallel: number
  balancer: 'random' | 'round-robin' | 'least-outstanding' | 'expected-wait'
  /** `unbounded` sends every request immediately, regardless of the load of its upstream; a baseline for benchmarks. */
  admission: 'bounded' | 'unbounded'
  /** Whether late lookups that may be repeated are also sent to a second upstream, and slow streams are moved to another engine. */
  hedging: boolean
  /** Sequence in which engines load new weights; `listed` keeps the order of the list, a baseline for benchmarks. */
  swapOrder: 'planned' | 'listed'
}

/** A service as the settings describe it. */
export interface ServiceSettings {
  name: string
  kind: 'engine' | 'plain'
  /** True when its upstreams refuse orders with an old fencing number. */
  checksFence: boolean
  /** `ip:port` addresses that orders may go to when the upstreams ignore fencing numbers. */
  orderAddresses: string[]
  /** Engines of the service that load weights at once. */
  swapParallel: number
  balancer: 'random' | 'round-robin' | 'least-outstanding' | 'expected-wait'
  /** `unbounded` sends every request at once, whatever its upstream holds; a baseline for measurement. */
  admission: 'bounded' | 'unbounded'
  /** Whether late lookups that may be repeated are sent to a second upstream, and slow streams are moved. */
  hedging: boolean
  /** Order in which engines load new weights; `listed` takes them as they come, a baseline for measurement. */
  swapOrder: 'planned' | 'listed'
}

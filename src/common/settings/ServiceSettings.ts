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
}

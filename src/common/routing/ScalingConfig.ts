/** How many upstreams of a service may be ordered in each failure domain, and at what price. */
export interface ScalingConfig {
  /** Limits for each failure domain, for both kinds of upstreams together. */
  minCount: number
  maxCount: number
  /** Time from an order until the new upstreams serve. */
  bootMs: number
  /** Price of a reclaimable upstream as a share of the price of others; undefined if there are none. */
  spotPriceShare?: number
  /** Relative price of one second of an upstream, by failure domain. */
  priceByDomain: ReadonlyMap<string, number>
}

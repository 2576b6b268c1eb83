/** Upstreams of a service in one failure domain, without those that leave. */
export interface DomainCapacity {
  failureDomain: string
  /** Upstreams that only an order takes away, including those that were ordered and have not started yet. */
  regular: number
  /** Upstreams that the platform may reclaim, including those that were ordered and have not started yet. */
  spot: number
}

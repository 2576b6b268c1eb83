/** Work that waits for upstreams of a service. */
export interface IScalingWorkload {
  /** Number of items that wait for a slot of the service and are not deferred after a failure. */
  countWaitingItemsOfService (service: string): number
}

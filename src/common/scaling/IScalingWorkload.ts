/** Work that waits for upstreams of a service. */
export interface IScalingWorkload {
  /** Number of items that may run now and wait for a slot of the service. */
  countWaitingFor (service: string): number
}

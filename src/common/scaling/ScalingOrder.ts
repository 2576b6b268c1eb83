/** Order for a number of upstreams of one kind in one failure domain. */
export interface ScalingOrder {
  service: string
  failureDomain: string
  isSpot: boolean
  /** Number of upstreams of this kind that the failure domain should have. */
  count: number
}

/** Record of one upstream in the upstream list, written by the upstream itself. */
export interface FleetMember {
  id: string
  /** Start of this incarnation, in Unix milliseconds; 0 if unknown. */
  startedAtMs: number
  /** Number of this record among those of the incarnation, in the order of writing; undefined if unknown. */
  sequence?: number
  service: string
  /** `ip:port` */
  address: string
  failureDomain: string
  /** Number of requests that the upstream runs at the same time; further ones wait or are rejected. */
  slots: number
  isDraining: boolean
  /** Whether the platform may reclaim the upstream at any time. */
  isSpot?: boolean
  /** Newest loaded weight version of each model. */
  versions: ReadonlyMap<string, number>
}

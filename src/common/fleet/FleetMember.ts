/** What an upstream says of itself in the list of upstreams. */
export interface FleetMember {
  id: string
  /** Start of this life, in Unix milliseconds; 0 if it does not say. */
  startedAtMs: number
  service: string
  /** `ip:port` */
  address: string
  failureDomain: string
  slots: number
  isDraining: boolean
  /** Newest weight version of each model that it has loaded. */
  versions: ReadonlyMap<string, number>
}

/** One measured configuration. Differences between cases give the cost per server, entry, ticket and publication. */
export interface CapacityCase {
  name: string
  entries: number
  /** Servers of the plain service; the cluster also has one engine. */
  upstreams: number
  /** Tickets per second that the other entries serve; the measured entry only reads them from the log. */
  ticketsPerS: number
  /** Contract publications per second. */
  publicationsPerS: number
}

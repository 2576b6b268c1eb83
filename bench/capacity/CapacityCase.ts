/** One measured configuration; differences between cases give the slopes. */
export interface CapacityCase {
  name: string
  entries: number
  upstreams: number
  /** Tickets per second that other entries serve; the measured entry only follows the log. */
  ticketsPerS: number
  /** Contract publications per second. */
  publicationsPerS: number
}

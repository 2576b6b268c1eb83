/** Control cost of one entry that serves no requests. */
export interface CapacityResult {
  name: string
  /** Processor time, milliseconds per second. */
  cpuMsPerS: number
  residentMb: number
  /** Payload bytes per second, both directions, by counterpart. */
  logBytesPerS: number
  membershipBytesPerS: number
  upstreamBytesPerS: number
  /** Gossip sent; as much arrives. */
  gossipBytesPerS: number
}

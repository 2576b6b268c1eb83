/** Resource use of one entry that serves no requests: the cost of coordination alone. */
export interface CapacityResult {
  name: string
  /** CPU time in milliseconds per second. */
  cpuMsPerS: number
  residentMb: number
  /** Payload bytes per second in both directions, here and below by counterpart. */
  logBytesPerS: number
  membershipBytesPerS: number
  upstreamBytesPerS: number
  /** Gossip bytes sent per second; as many are received. */
  gossipBytesPerS: number
}

/** What the host allows the process to use. */
export interface HostLimits {
  memoryMb: number
  maxFds: number
  /** Bound on the connections of callers below the one that follows from the other limits. */
  maxCallerConnections?: number
}

/** What the host allows the process to use. */
export interface HostLimits {
  memoryMb: number
  maxFds: number
}

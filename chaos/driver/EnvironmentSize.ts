/** Numbers of processes that depend on the size of a run. */
export interface EnvironmentSize {
  entries: number
  /** Number of upstreams of each of the four services. */
  upstreams: number
}

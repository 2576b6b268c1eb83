/** Numbers of processes that grow with the size of a run. */
export interface SiteSize {
  entries: number
  /** Upstreams of each of the four services. */
  upstreams: number
}

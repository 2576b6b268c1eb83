/** What the configuration says of a service. */
export interface ServiceInfo {
  name: string
  /** Most connections that one upstream of the service accepts from all callers. */
  maxConnections: number
  healthPath: string
  /** Whether its upstreams are engines that take orders. */
  hasEngines: boolean
}

import type { ServiceOptions } from './ServiceOptions.js'

type Flags = Record<string, string | number | boolean>

/** What a cluster consists of. */
export interface ClusterOptions {
  entries: number
  services: Record<string, ServiceOptions>
  /** Contract texts (INI), published when the first entry listens. */
  contracts: string[]
  /** Replaces keys of the entries' `[timing]` and `[http]` sections. */
  timing?: Record<string, number>
  http?: Record<string, number>
  /** Flags of the platform's stand-ins. */
  log?: Flags
  membership?: Flags
  weights?: Flags
  failureDomains?: string[]
  /**
   * Which connections go through the fault proxy. Names are `entry-1`, `<service>-1`, `log`,
   * `membership`, `weights`; the route is then `cluster.route(from, to)`.
   */
  isProxied?: (from: string, to: string) => boolean
}

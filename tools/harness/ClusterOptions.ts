import type { ServiceOptions } from './ServiceOptions.js'

type Flags = Record<string, string | number | boolean>

/** Entries, services and contracts of a cluster and the settings that override the harness's defaults. */
export interface ClusterOptions {
  entries: number
  services: Record<string, ServiceOptions>
  /** Contract texts (INI), published once the entries have started. */
  contracts: string[]
  /** Overrides keys of the `[timing]` section of the entries' settings. */
  timing?: Record<string, number>
  /** Overrides keys of the `[http]` section of the entries' settings. */
  http?: Record<string, number>
  /** Options of Node.js for the entries, in place of those of this process. */
  nodeOptions?: string
  /** Command line flags of the log stand-in. */
  log?: Flags
  /** Command line flags of the membership list stand-in. */
  membership?: Flags
  /** Command line flags of the weight store stand-in. */
  weights?: Flags
  /** Failure domains that entries and the upstreams of each service are assigned to in turn. */
  failureDomains?: string[]
  /**
   * Selects the connections that go through the fault proxy. Processes are named `entry-1`, `<service>-1`, `log`,
   * `membership` and `weights`; `cluster.route(from, to)` returns the route of a selected connection.
   */
  isProxied?: (from: string, to: string) => boolean
}

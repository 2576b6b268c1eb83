import type { RouteFaults } from './RouteFaults.js'

/** A forwarded address with its own faults. */
export interface IRoute {
  /** `ip:port` that is forwarded. */
  readonly address: string
  /** `ip:port` that new connections and datagrams go to. */
  target: string
  readonly faults: RouteFaults
  setFaults (faults: RouteFaults): Promise<void>
}

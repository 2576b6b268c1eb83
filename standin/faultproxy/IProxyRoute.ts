import type { IDisposable } from '../../src/common/kernel/IDisposable.js'
import type { RouteFaults } from './RouteFaults.js'

/** Forwards traffic from a listening address to a target, subject to its own faults. */
export interface IProxyRoute extends IDisposable {
  /** `ip:port` that the route listens on. */
  readonly address: string
  /** `ip:port` that new connections and datagrams are forwarded to. */
  target: string
  readonly faults: RouteFaults
  /** Payload bytes received since the start, in both directions. */
  readonly receivedBytes: number
  setFaults (faults: RouteFaults): Promise<void>
}

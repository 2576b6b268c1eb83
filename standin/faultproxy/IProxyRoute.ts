import type { IDisposable } from '../../src/common/kernel/IDisposable.js'
import type { RouteFaults } from './RouteFaults.js'

/** A forwarded address with its own faults. */
export interface IProxyRoute extends IDisposable {
  /** `ip:port` that is forwarded. */
  readonly address: string
  /** `ip:port` that new connections and datagrams go to. */
  target: string
  readonly faults: RouteFaults
  /** Payload bytes received from both sides since the start. */
  readonly receivedBytes: number
  setFaults (faults: RouteFaults): Promise<void>
}

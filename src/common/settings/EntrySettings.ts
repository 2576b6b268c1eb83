import type { ServiceSettings } from './ServiceSettings.js'

/** Validated settings of an entry daemon. */
export interface EntrySettings {
  id: string
  failureDomain: string
  /** `ip:port` that serves callers, trainers and operators. */
  listenAddress: string
  /** `ip:port` (UDP) for gossip. */
  peerAddress: string
  /** `ip:port` for connect-es between entries. */
  rpcAddress: string
  /** Shared key that authenticates messages between entries. */
  peerKey: string
  logAddress: string
  membershipAddress: string
  services: ServiceSettings[]
  /** Operator name by SHA-256 digest (hex) of the operator's token. */
  operatorsByTokenDigest: Map<string, string>
  /** Minimum interval between two appends of this entry, over all streams. */
  appendIntervalMs: number
  leaseMs: number
  /** Time before the end of a lease from which its holder no longer acts on it. */
  leaseGuardMs: number
  /** Retention time of the log. */
  retentionMs: number
  membershipPollMs: number
  loadPollMs: number
  gossipIntervalMs: number
  heartbeatTimeoutMs: number
  /** Minimum time for which a draining entry keeps accepting connections. */
  drainNoticeMs: number
  /** Maximum time to wait for work in flight after the notice; extended to the longest deadline in force. */
  drainLimitMs: number
  maxBodyBytes: number
  maxHeaderBytes: number
  maxConnections: number
  /** Memory of the process; bounds what clients may use. */
  memoryMb: number
  /** Limit for idle connections, for receiving a request and for writing a response that is not a stream. */
  idleTimeoutMs: number
  /** Upper limit of the deadline of a generation. */
  maxStreamMs: number
}

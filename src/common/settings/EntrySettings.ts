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
  leaseGuardMs: number
  /** Retention time of the log. */
  retentionMs: number
  membershipPollMs: number
  loadPollMs: number
  gossipIntervalMs: number
  heartbeatTimeoutMs: number
  drainNoticeMs: number
  drainLimitMs: number
  maxBodyBytes: number
  maxHeaderBytes: number
  maxConnections: number
  idleTimeoutMs: number
  maxStreamMs: number
}

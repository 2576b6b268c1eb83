import type { ServiceSettings } from './ServiceSettings.js'

/** Settings of an entry daemon, checked. */
export interface EntrySettings {
  id: string
  failureDomain: string
  /** `ip:port` for callers, trainers and operators. */
  listenAddress: string
  /** `ip:port` (UDP) for gossip. */
  peerAddress: string
  /** `ip:port` for connect-es between entries. */
  rpcAddress: string
  /** Shared key of the entries' messages. */
  peerKey: string
  logAddress: string
  membershipAddress: string
  services: ServiceSettings[]
  /** Operator name by SHA-256 digest (hex) of the operator's token. */
  operatorsByTokenDigest: Map<string, string>
  /** Minimum time between two appends of this entry to a stream. */
  appendIntervalMs: number
  leaseMs: number
  leaseGuardMs: number
  /** How long the log keeps records. */
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

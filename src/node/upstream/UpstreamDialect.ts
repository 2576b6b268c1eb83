/** What differs between the protocols in which upstreams are addressed. */
export interface UpstreamDialect {
  /** Header, in lowercase, that carries the request's id and is echoed by the upstream. */
  requestIdHeader: string
  /** Whether an answer may be delimited by the regular end of its connection. */
  acceptsUnframed: boolean
  /** Whether the caller's Host header is sent in place of the upstream's address. */
  forwardsHost: boolean
  /** Idle time after which a connection is closed, unless the upstream states another. */
  keepAliveMs: number
  /** Longest idle time, whatever the upstream states. */
  maxKeepAliveMs: number
}

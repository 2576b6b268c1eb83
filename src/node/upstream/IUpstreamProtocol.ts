/** What differs between the protocols in which upstreams are addressed. */
export interface IUpstreamProtocol {
  /** Header, in lowercase, that carries the request's id and is echoed by the upstream. */
  requestIdHeader: string
  /** Whether an answer may be delimited by the regular end of its connection. */
  acceptsCloseDelimited: boolean
  /** Whether the caller's Host header is sent in place of the upstream's address. */
  forwardsHost: boolean
  /** Idle time after which a connection is closed, unless the upstream states another. */
  keepAliveTimeoutMs: number
  /** Longest idle time, whatever the upstream states. */
  maxKeepAliveTimeoutMs: number
}

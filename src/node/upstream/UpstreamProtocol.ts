/** Options by which the HTTP protocols of upstreams differ. */
export interface UpstreamProtocol {
  /** Lowercase name of the header that carries the request id and that the upstream may echo. */
  requestIdHeader: string
  /** Whether a response body may be delimited by an orderly close of its connection. */
  acceptsCloseDelimited: boolean
  /** Whether the caller's Host header is forwarded; otherwise Host is the upstream's address. */
  forwardsHost: boolean
  /** Idle time after which a connection is closed, unless the upstream announces its own limit. */
  keepAliveTimeoutMs: number
  /** Upper bound of the idle time, whatever limit the upstream announces. */
  maxKeepAliveTimeoutMs: number
}

import type { UpstreamProtocol } from './UpstreamProtocol.js'

/** Below the common server timeout of 5 s, so that a request rarely meets a connection that the server is closing. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000

/** The upstream protocol of hyssopvalve itself. */
export const defaultUpstreamProtocol: UpstreamProtocol = { requestIdHeader: 'x-request-id', acceptsCloseDelimited: false, forwardsHost: false, keepAliveTimeoutMs: KEEP_ALIVE_TIMEOUT_MS, maxKeepAliveTimeoutMs: KEEP_ALIVE_TIMEOUT_MS }

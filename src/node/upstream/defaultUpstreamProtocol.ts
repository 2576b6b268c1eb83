import type { IUpstreamProtocol } from './IUpstreamProtocol.js'

/** Below the common 5 s of servers, to lose fewer races with their close. */
const KEEP_ALIVE_MS = 4_000

/** The product's own upstream protocol. */
export const defaultUpstreamProtocol: IUpstreamProtocol = { requestIdHeader: 'x-request-id', acceptsCloseDelimited: false, forwardsHost: false, keepAliveTimeoutMs: KEEP_ALIVE_MS, maxKeepAliveTimeoutMs: KEEP_ALIVE_MS }

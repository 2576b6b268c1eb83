import type { UpstreamDialect } from './UpstreamDialect.js'

/** Below the common 5 s of servers, to lose fewer races with their close. */
const KEEP_ALIVE_MS = 4_000

/** The product's own upstream protocol. */
export const openDialect: UpstreamDialect = { requestIdHeader: 'x-request-id', acceptsUnframed: false, forwardsHost: false, keepAliveMs: KEEP_ALIVE_MS, maxKeepAliveMs: KEEP_ALIVE_MS }

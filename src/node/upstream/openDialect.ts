import type { UpstreamDialect } from './UpstreamDialect.js'

/** The product's own upstream protocol. */
export const openDialect: UpstreamDialect = { requestIdHeader: 'x-request-id', acceptsUnframed: false, forwardsHost: false }

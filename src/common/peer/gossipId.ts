import { createServiceId } from '../kernel/createServiceId.js'
import type { IGossip } from './IGossip.js'

/** Identifier of the gossip service. */
export const gossipId = createServiceId<IGossip>('gossip')

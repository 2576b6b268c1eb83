import { createServiceId } from '../../common/kernel/createServiceId.js'
import type { LoadPoller } from './LoadPoller.js'

/** Identifier of the load poller. */
export const loadPollerId = createServiceId<LoadPoller>('loadPoller')

import { createServiceId } from '../kernel/createServiceId.js'
import type { IUpstreamObserver } from './IUpstreamObserver.js'

/** Identifier of the upstream observer service, which the upstream table implements. */
export const upstreamObserverId = createServiceId<IUpstreamObserver>('upstreamObserver')

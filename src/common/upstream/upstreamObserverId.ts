import { createServiceId } from '../kernel/createServiceId.js'
import type { IUpstreamObserver } from './IUpstreamObserver.js'

/** Identifier of the upstream observer service; the upstream table implements it. */
export const upstreamObserverId = createServiceId<IUpstreamObserver>('upstreamObserver')

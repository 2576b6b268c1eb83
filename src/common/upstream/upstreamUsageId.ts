import { createServiceId } from '../kernel/createServiceId.js'
import type { IUpstreamUsage } from './IUpstreamUsage.js'

/** Identifier of the upstream usage service, which the upstream table implements. */
export const upstreamUsageId = createServiceId<IUpstreamUsage>('upstreamUsage')

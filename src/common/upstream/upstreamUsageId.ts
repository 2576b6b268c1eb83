import { createServiceId } from '../kernel/createServiceId.js'
import type { IUpstreamUsage } from './IUpstreamUsage.js'

/** Identifier of the upstream usage service; the upstream table implements it. */
export const upstreamUsageId = createServiceId<IUpstreamUsage>('upstreamUsage')

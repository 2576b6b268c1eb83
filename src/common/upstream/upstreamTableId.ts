import { createServiceId } from '../kernel/createServiceId.js'
import type { IUpstreamTable } from './IUpstreamTable.js'

/** Identifier of the upstream table service. */
export const upstreamTableId = createServiceId<IUpstreamTable>('upstreamTable')

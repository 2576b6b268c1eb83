import { createServiceId } from '../kernel/createServiceId.js'
import type { IPeerTable } from './IPeerTable.js'

/** Identifier of the peer table service. */
export const peerTableId = createServiceId<IPeerTable>('peerTable')

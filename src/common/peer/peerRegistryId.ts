import { createServiceId } from '../kernel/createServiceId.js'
import type { IPeerRegistry } from './IPeerRegistry.js'

/** Identifier of the writing side of the peer table; the same instance as `peerTableId`. */
export const peerRegistryId = createServiceId<IPeerRegistry>('peerRegistry')

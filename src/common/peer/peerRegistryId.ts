import { createServiceId } from '../kernel/createServiceId.js'
import type { IPeerRegistry } from './IPeerRegistry.js'

/** Identifier of the write access to the peer table; registered with the same instance as `peerTableId`. */
export const peerRegistryId = createServiceId<IPeerRegistry>('peerRegistry')

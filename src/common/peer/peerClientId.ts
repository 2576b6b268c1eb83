import { createServiceId } from '../kernel/createServiceId.js'
import type { IPeerClient } from './IPeerClient.js'

/** Identifier of the client for calls to other entries. */
export const peerClientId = createServiceId<IPeerClient>('peerClient')

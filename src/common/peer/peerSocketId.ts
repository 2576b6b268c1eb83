import { createServiceId } from '../kernel/createServiceId.js'
import type { IPeerSocket } from './IPeerSocket.js'

/** Identifier of the datagram socket between entries. */
export const peerSocketId = createServiceId<IPeerSocket>('peerSocket')

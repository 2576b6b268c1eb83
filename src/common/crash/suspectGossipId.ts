import { createServiceId } from '../kernel/createServiceId.js'
import type { ISuspectGossip } from './ISuspectGossip.js'

/** Identifier of the suspect gossip service, which the suspect table implements. */
export const suspectGossipId = createServiceId<ISuspectGossip>('suspectGossip')

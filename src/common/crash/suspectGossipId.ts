import { createServiceId } from '../kernel/createServiceId.js'
import type { ISuspectGossip } from './ISuspectGossip.js'

/** Identifier of the suspect gossip service; the suspect table implements it. */
export const suspectGossipId = createServiceId<ISuspectGossip>('suspectGossip')

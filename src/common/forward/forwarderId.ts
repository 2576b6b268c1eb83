import { createServiceId } from '../kernel/createServiceId.js'
import type { IForwarder } from './IForwarder.js'

/** Identifier of the forwarder service. */
export const forwarderId = createServiceId<IForwarder>('forwarder')

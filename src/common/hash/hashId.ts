import { createServiceId } from '../kernel/createServiceId.js'
import type { IHash } from './IHash.js'

/** Identifier of the hash service. */
export const hashId = createServiceId<IHash>('hash')

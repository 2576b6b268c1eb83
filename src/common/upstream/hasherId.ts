import { createServiceId } from '../kernel/createServiceId.js'
import type { IHasher } from './IHasher.js'

/** Identifier of the hash service. */
export const hasherId = createServiceId<IHasher>('hasher')

import { createServiceId } from '../kernel/createServiceId.js'
import type { IDigest } from './IDigest.js'

/** Identifier of the digest service. */
export const digestId = createServiceId<IDigest>('digest')

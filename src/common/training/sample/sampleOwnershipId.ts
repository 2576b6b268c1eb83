import { createServiceId } from '../../kernel/createServiceId.js'
import type { ISampleOwnership } from './ISampleOwnership.js'

/** Identifier of the sample ownership service. */
export const sampleOwnershipId = createServiceId<ISampleOwnership>('sampleOwners')

import { createServiceId } from '../../kernel/createServiceId.js'
import type { ISampleOwners } from './ISampleOwners.js'

/** Identifier of the sample ownership service. */
export const sampleOwnersId = createServiceId<ISampleOwners>('sampleOwners')

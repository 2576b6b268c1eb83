import { createServiceId } from '../kernel/createServiceId.js'
import type { IContractSync } from './IContractSync.js'

/** Identifier of the contract synchronisation between entries. */
export const contractSyncId = createServiceId<IContractSync>('contractSync')

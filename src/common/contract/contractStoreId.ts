import { createServiceId } from '../kernel/createServiceId.js'
import type { IContractStore } from './IContractStore.js'

/** Identifier of the contract store service. */
export const contractStoreId = createServiceId<IContractStore>('contractStore')

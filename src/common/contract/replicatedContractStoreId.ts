import { createServiceId } from '../kernel/createServiceId.js'
import type { IReplicatedContractStore } from './IReplicatedContractStore.js'

/** Identifier of the contract ledger; the same instance as the contract store. */
export const replicatedContractStoreId = createServiceId<IReplicatedContractStore>('contractLedger')

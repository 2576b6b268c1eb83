import { createServiceId } from '../kernel/createServiceId.js'
import type { IReplicatedContractStore } from './IReplicatedContractStore.js'

/** Identifier of the replicated contract store; registered with the same instance as the contract store. */
export const replicatedContractStoreId = createServiceId<IReplicatedContractStore>('replicatedContractStore')

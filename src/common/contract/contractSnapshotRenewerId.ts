import { createServiceId } from '../kernel/createServiceId.js'
import type { ContractSnapshotRenewer } from './ContractSnapshotRenewer.js'

/** Identifier of the contract snapshot renewer, which is registered so that the registry disposes it. */
export const contractSnapshotRenewerId = createServiceId<ContractSnapshotRenewer>('contractSnapshotRenewer')

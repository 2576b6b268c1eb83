import { createServiceId } from '../kernel/createServiceId.js'
import type { ContractSnapshotRenewer } from './ContractSnapshotRenewer.js'

/** Identifier of the snapshot renewer, so that the registry disposes it. */
export const contractSnapshotRenewerId = createServiceId<ContractSnapshotRenewer>('snapshotRenewer')

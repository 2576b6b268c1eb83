import { createServiceId } from '../kernel/createServiceId.js'
import type { SnapshotRenewer } from './SnapshotRenewer.js'

/** Identifier of the snapshot renewer, so that the registry disposes it. */
export const snapshotRenewerId = createServiceId<SnapshotRenewer>('snapshotRenewer')

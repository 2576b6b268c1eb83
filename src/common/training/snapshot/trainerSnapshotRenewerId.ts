import { createServiceId } from '../../kernel/createServiceId.js'
import type { ITrainerSnapshotRenewer } from './ITrainerSnapshotRenewer.js'

/** Identifier of the trainer snapshot renewer service. */
export const trainerSnapshotRenewerId = createServiceId<ITrainerSnapshotRenewer>('trainerSnapshotRenewer')

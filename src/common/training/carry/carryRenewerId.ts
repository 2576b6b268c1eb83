import { createServiceId } from '../../kernel/createServiceId.js'
import type { ICarryRenewer } from './ICarryRenewer.js'

/** Identifier of the carry renewer service. */
export const carryRenewerId = createServiceId<ICarryRenewer>('carryRenewer')

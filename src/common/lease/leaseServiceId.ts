import { createServiceId } from '../kernel/createServiceId.js'
import type { ILeaseService } from './ILeaseService.js'

/** Identifier of the lease service. */
export const leaseServiceId = createServiceId<ILeaseService>('leaseService')

import { createServiceId } from '../kernel/createServiceId.js'
import type { IClaimService } from './IClaimService.js'

/** Identifier of the claim service. */
export const claimServiceId = createServiceId<IClaimService>('claimService')

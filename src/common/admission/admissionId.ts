import { createServiceId } from '../kernel/createServiceId.js'
import type { IAdmission } from './IAdmission.js'

/** Identifier of the admission service. */
export const admissionId = createServiceId<IAdmission>('admission')

import { createServiceId } from '../../common/kernel/createServiceId.js'
import type { Readiness } from './Readiness.js'

/** Identifier of the readiness check. */
export const readinessId = createServiceId<Readiness>('readiness')

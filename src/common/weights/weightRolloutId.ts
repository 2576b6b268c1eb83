import { createServiceId } from '../kernel/createServiceId.js'
import type { IWeightRollout } from './IWeightRollout.js'

/** Identifier of the weight rollout service. */
export const weightRolloutId = createServiceId<IWeightRollout>('weightRollout')

import { createServiceId } from '../kernel/createServiceId.js'
import type { ITrainingService } from './ITrainingService.js'

/** Identifier of the training service. */
export const trainingServiceId = createServiceId<ITrainingService>('trainingService')

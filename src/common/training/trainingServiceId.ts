import { createServiceId } from '../kernel/createServiceId.js'
import type { ITrainingService } from './ITrainingService.js'

/** Identifier of the trainer desk service. */
export const trainingServiceId = createServiceId<ITrainingService>('trainerDesk')

import { createServiceId } from '../kernel/createServiceId.js'
import type { ITrainerDesk } from './ITrainerDesk.js'

/** Identifier of the trainer desk service. */
export const trainerDeskId = createServiceId<ITrainerDesk>('trainerDesk')

import { createServiceId } from '../../kernel/createServiceId.js'
import type { IStepRunner } from './IStepRunner.js'

/** Identifier of the step runner service. */
export const stepRunnerId = createServiceId<IStepRunner>('stepRunner')

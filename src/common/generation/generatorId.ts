import { createServiceId } from '../kernel/createServiceId.js'
import type { IGenerator } from './IGenerator.js'

/** Identifier of the generator service. */
export const generatorId = createServiceId<IGenerator>('generator')

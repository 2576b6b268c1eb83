import { createServiceId } from '../../kernel/createServiceId.js'
import type { ISampleScorer } from './ISampleScorer.js'

/** Identifier of the sample scorer service. */
export const sampleScorerId = createServiceId<ISampleScorer>('sampleScorer')

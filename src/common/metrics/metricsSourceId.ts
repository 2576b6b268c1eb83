import { createServiceId } from '../kernel/createServiceId.js'
import type { IMetricsSource } from './IMetricsSource.js'

/** Identifier of the metrics exposition. */
export const metricsSourceId = createServiceId<IMetricsSource>('metricsSource')

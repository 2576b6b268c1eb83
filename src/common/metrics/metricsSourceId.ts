import { createServiceId } from '../kernel/createServiceId.js'
import type { IMetricsSource } from './IMetricsSource.js'

/** Identifier of the metrics source that scrapers read. */
export const metricsSourceId = createServiceId<IMetricsSource>('metricsSource')

import { createServiceId } from '../kernel/createServiceId.js'
import type { IMetrics } from './IMetrics.js'

/** Identifier of the metrics service. */
export const metricsId = createServiceId<IMetrics>('metrics')

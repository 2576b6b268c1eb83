import { createServiceId } from '../kernel/createServiceId.js'
import type { ILogger } from './ILogger.js'

/** Identifier of the logger service. */
export const loggerId = createServiceId<ILogger>('logger')

import { createServiceId } from '../kernel/createServiceId.js'
import type { ILogHub } from './ILogHub.js'

/** Identifier of the log hub. */
export const logHubId = createServiceId<ILogHub>('logHub')

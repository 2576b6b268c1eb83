import { createServiceId } from '../kernel/createServiceId.js'
import type { ILogClient } from './ILogClient.js'

/** Identifier of the log client. */
export const logClientId = createServiceId<ILogClient>('logClient')

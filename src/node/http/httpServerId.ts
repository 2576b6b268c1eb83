import { createServiceId } from '../../common/kernel/createServiceId.js'
import type { IHttpServer } from './IHttpServer.js'

/** Identifier of the HTTP listener. */
export const httpServerId = createServiceId<IHttpServer>('httpServer')

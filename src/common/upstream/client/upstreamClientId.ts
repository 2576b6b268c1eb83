import { createServiceId } from '../../kernel/createServiceId.js'
import type { IUpstreamClient } from './IUpstreamClient.js'

/** Identifier of the upstream client service. */
export const upstreamClientId = createServiceId<IUpstreamClient>('upstreamClient')

import { createServiceId } from '../../common/kernel/createServiceId.js'
import type { Authenticator } from './Authenticator.js'

/** Identifier of the authenticator. */
export const authenticatorId = createServiceId<Authenticator>('authenticator')

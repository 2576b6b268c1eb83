import { createServiceId } from '../kernel/createServiceId.js'
import type { IContractPublisher } from './IContractPublisher.js'

/** Identifier of the contract publisher service. */
export const contractPublisherId = createServiceId<IContractPublisher>('contractPublisher')

import type { IServiceRegistry } from '../../common/kernel/IServiceRegistry.js'
import type { RegisteredServices } from './RegisteredServices.js'

/** Registers the services that Entry does not create itself: those of contracts, upstreams, work and training. */
export type ServiceRegistration = (registry: IServiceRegistry) => RegisteredServices

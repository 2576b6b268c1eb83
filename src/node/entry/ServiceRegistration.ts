import type { IServiceRegistry } from '../../common/kernel/IServiceRegistry.js'
import type { RegisteredServices } from './RegisteredServices.js'

/** Registers the services that Entry does not create itself: everything except the HTTP server, peers and metrics. */
export type ServiceRegistration = (registry: IServiceRegistry) => RegisteredServices

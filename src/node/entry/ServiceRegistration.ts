import type { IServiceRegistry } from '../../common/kernel/IServiceRegistry.js'
import type { RegisteredServices } from './RegisteredServices.js'

/** Registers the services of the modules outside the shell. */
export type ServiceRegistration = (registry: IServiceRegistry) => RegisteredServices

export { ServiceRegistry } from './common/kernel/ServiceRegistry.js'

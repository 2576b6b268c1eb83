import type { EngineConfig } from './EngineConfig.js'

/** Configuration of a service. */
export interface ServiceConfig {
  name: string
  /** Maximum number of connections that one upstream of the service accepts in total. */
  maxConnections: number
  healthPath: string
  /** Undefined for plain services. */
  engine?: EngineConfig
}

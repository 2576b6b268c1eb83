import type { EngineConfig } from './EngineConfig.js'

/** What the configuration says of a service. */
export interface ServiceConfig {
  name: string
  /** Most connections that one upstream of the service accepts from all callers. */
  maxConnections: number
  healthPath: string
  /** Of a service of engines; undefined for other services. */
  engine?: EngineConfig
}

import type { EngineConfig } from './EngineConfig.js'
import type { ScalingConfig } from './ScalingConfig.js'

/** Configuration of a service. */
export interface ServiceConfig {
  name: string
  /** Maximum number of connections that one upstream of the service accepts in total. */
  maxConnections: number
  healthPath: string
  /** Undefined for plain services. */
  engine?: EngineConfig
  /** Undefined if the number of upstreams is fixed. */
  scaling?: ScalingConfig
}

import type { CallerLimits } from './CallerLimits.js'
import type { Route } from './Route.js'
import type { ServiceInfo } from './ServiceInfo.js'

/** One version of the operator's configuration. */
export interface RoutingConfig {
  version: number
  routes: readonly Route[]
  services: ReadonlyMap<string, ServiceInfo>
  limits: CallerLimits
}

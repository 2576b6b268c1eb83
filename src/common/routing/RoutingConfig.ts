import type { CallerLimits } from './CallerLimits.js'
import type { OrganisationConfig } from './OrganisationConfig.js'
import type { Route } from './Route.js'
import type { ServiceConfig } from './ServiceConfig.js'

/** One version of the operator's routing configuration. */
export interface RoutingConfig {
  version: number
  routes: readonly Route[]
  services: ReadonlyMap<string, ServiceConfig>
  limits: CallerLimits
  /** Undefined where callers need no API key. */
  organisations?: readonly OrganisationConfig[]
}

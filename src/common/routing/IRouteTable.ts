import type { IEvent } from '../kernel/IEvent.js'
import type { Route } from './Route.js'
import type { RoutingConfig } from './RoutingConfig.js'

/** The configuration in force in this process. */
export interface IRouteTable {
  readonly onChanged: IEvent<RoutingConfig>
  readonly config: RoutingConfig | undefined
  /** The route with the longest prefix among those of the host. */
  find (host: string, path: string): Route | undefined
  findByName (name: string): Route | undefined
  hasHost (host: string): boolean
}

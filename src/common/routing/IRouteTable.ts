import type { IEvent } from '../kernel/IEvent.js'
import type { IConfigSource } from './IConfigSource.js'
import type { Route } from './Route.js'
import type { RoutingConfig } from './RoutingConfig.js'

/** The routing configuration in force in this process. */
export interface IRouteTable extends IConfigSource {
  readonly onChanged: IEvent<RoutingConfig>
  readonly config: RoutingConfig | undefined
  /** Returns the route of the HTTP host with the longest matching path prefix. */
  find (host: string, path: string): Route | undefined
  findByName (name: string): Route | undefined
  /** Whether the HTTP host has a batch route, or had one in a configuration that was in force in this process. */
  hasHadBatchRoute (host: string): boolean
}

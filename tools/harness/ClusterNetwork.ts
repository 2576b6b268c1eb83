import type { ClusterOptions } from './ClusterOptions.js'
import { ProxyRoute } from './ProxyRoute.js'
import type { StandIn } from './StandIn.js'

/** Routes the connections that the options select through the fault proxy. */
export class ClusterNetwork {
  private readonly _routes = new Map<string, ProxyRoute>()

  constructor (private readonly _proxy: StandIn, private readonly _isProxied: NonNullable<ClusterOptions['isProxied']>) {}

  /** Address at which `from` connects to `to`: the fault proxy's if the connection is proxied, else `target`. */
  async resolveAddress (from: string, to: string, target: string, protocol: 'tcp' | 'udp' = 'tcp'): Promise<string> {
    if (!this._isProxied(from, to)) return target
    return (await this.openRoute(`${from}>${to}${protocol === 'udp' ? '/udp' : ''}`, target, protocol)).address
  }

  /** Opens a route of the fault proxy under the given name. */
  async openRoute (name: string, target: string, protocol: 'tcp' | 'udp' = 'tcp'): Promise<ProxyRoute> {
    const route = await ProxyRoute.open(this._proxy, name, target, protocol)
    this._routes.set(name, route)
    return route
  }

  /**
   * The route between two processes; `/udp` at the end of `to` selects the gossip route of an entry. Throws if the
   * connection is not proxied.
   */
  route (from: string, to: string): ProxyRoute {
    const route = this._routes.get(`${from}>${to}`)
    if (route === undefined) throw new Error(`${from}>${to} does not go through the fault proxy`)
    return route
  }
}

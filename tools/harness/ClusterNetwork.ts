import type { ClusterOptions } from './ClusterOptions.js'
import { ProxyRoute } from './ProxyRoute.js'
import type { StandIn } from './StandIn.js'

/** Leads the connections that the options name through the fault proxy. */
export class ClusterNetwork {
  private readonly _routes = new Map<string, ProxyRoute>()

  constructor (private readonly _proxy: StandIn, private readonly _proxied: NonNullable<ClusterOptions['proxied']>) {}

  /** Address at which `from` reaches `to`: the proxy's when the connection is proxied. */
  async resolveAddress (from: string, to: string, target: string, protocol: 'tcp' | 'udp' = 'tcp'): Promise<string> {
    if (!this._proxied(from, to)) return target
    return (await this.openRoute(`${from}>${to}${protocol === 'udp' ? '/udp' : ''}`, target, protocol)).address
  }

  /** Opens a route under a name of its own. */
  async openRoute (name: string, target: string, protocol: 'tcp' | 'udp' = 'tcp'): Promise<ProxyRoute> {
    const route = await ProxyRoute.open(this._proxy, name, target, protocol)
    this._routes.set(name, route)
    return route
  }

  /** The route between two processes; `/udp` at the end of `to` names the gossip route of an entry. */
  route (from: string, to: string): ProxyRoute {
    const route = this._routes.get(`${from}>${to}`)
    if (route === undefined) throw new Error(`${from}>${to} does not go through the fault proxy`)
    return route
  }
}

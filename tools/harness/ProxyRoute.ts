import { pickAddress } from './pickAddress.js'
import type { StandIn } from './StandIn.js'

/** A route of a fault proxy process. */
export class ProxyRoute {
  private constructor (private readonly _proxy: StandIn, readonly name: string, readonly address: string) {}

  /** Adds the route to the proxy. */
  static async open (proxy: StandIn, name: string, target: string, protocol: 'tcp' | 'udp' = 'tcp'): Promise<ProxyRoute> {
    const listen = await pickAddress()
    const { address } = await proxy.put('/routes', { name, target, protocol, listen })
    return new ProxyRoute(proxy, name, address)
  }

  /** Replaces the route's faults; without an argument all are cleared. */
  async setFaults (faults: Record<string, unknown> = {}): Promise<void> {
    await this._proxy.setFaults({ route: this.name, ...faults })
  }
}

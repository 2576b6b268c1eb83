import { pickAddress } from './pickAddress.js'
import type { StandIn } from './StandIn.js'

/** A route of a fault proxy: forwards connections or datagrams to a target and injects faults. */
export class ProxyRoute {
  private constructor (private readonly _proxy: StandIn, readonly name: string, readonly address: string) {}

  /** Adds the route to the proxy, which listens on a free port for it. */
  static async open (proxy: StandIn, name: string, target: string, protocol: 'tcp' | 'udp' = 'tcp'): Promise<ProxyRoute> {
    const listen = await pickAddress()
    const { address } = await proxy.put('/routes', { name, target, protocol, listen })
    return new ProxyRoute(proxy, name, address)
  }

  /** Replaces the injected faults of the route; without an argument all faults are cleared. */
  async setFaults (faults: Record<string, unknown> = {}): Promise<void> {
    await this._proxy.setFaults({ route: this.name, ...faults })
  }
}

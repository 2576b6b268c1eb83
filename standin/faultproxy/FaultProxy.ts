import type { Context } from 'hono'
import { z } from 'zod'
import { createApp } from '../common/createApp.js'
import { listenAddressSchema } from '../common/listenAddressSchema.js'
import { parseJsonBody } from '../common/parseJsonBody.js'
import type { StandInEnv } from '../common/StandInEnv.js'
import type { IProxyRoute } from './IProxyRoute.js'
import { routeFaultsSchema } from './routeFaultsSchema.js'
import { TcpProxyRoute } from './TcpProxyRoute.js'
import { UdpProxyRoute } from './UdpProxyRoute.js'

const routeSchema = z.strictObject({
  name: z.string(),
  target: z.string(),
  protocol: z.enum(['tcp', 'udp']).default('tcp'),
  listen: listenAddressSchema
})
const faultsSchema = routeFaultsSchema.extend({ route: z.string() })

/** Proxy that forwards TCP connections and UDP datagrams over named routes, each with its own faults. */
export class FaultProxy {
  readonly app = createApp()
  private readonly _routes = new Map<string, IProxyRoute>()

  constructor () {
    this.app.get('/ready', c => c.json({ ready: true, pid: process.pid }))
    this.app.get('/routes', c => c.json(Object.fromEntries([...this._routes].map(([name, route]) => [name, {
      address: route.address,
      target: route.target,
      bytes: route.receivedBytes,
      faults: route.faults
    }]))))
    this.app.put('/routes', async c => await this._putRoute(c))
    this.app.post('/faults', async c => {
      const { route: name, ...faults } = await parseJsonBody(c, faultsSchema)
      const route = this._routes.get(name)
      if (route === undefined) return c.json({ error: { kind: 'not_found', message: `no route ${name}` } }, 404)
      await route.setFaults(faults)
      return c.json(faults)
    })
  }

  /** Adds a route, or changes the target of an existing one for new connections. */
  private async _putRoute (c: Context<StandInEnv>): Promise<Response> {
    const { name, target, protocol, listen } = await parseJsonBody(c, routeSchema)
    const existing = this._routes.get(name)
    if (existing !== undefined) {
      existing.target = target
      return c.json({ address: existing.address })
    }
    const route = protocol === 'tcp' ? new TcpProxyRoute(target) : new UdpProxyRoute(target)
    await route.listen(listen)
    this._routes.set(name, route)
    return c.json({ address: route.address })
  }
}

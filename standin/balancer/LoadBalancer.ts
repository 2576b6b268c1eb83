import { connect, createServer, type Socket } from 'node:net'
import { z } from 'zod'
import type { IDisposable } from '../../src/common/kernel/IDisposable.js'
import { createApp } from '../common/createApp.js'
import { FaultController } from '../common/FaultController.js'
import { LaggedValue } from '../common/LaggedValue.js'
import { listenTcp } from '../common/listenTcp.js'
import { parseAddress } from '../common/parseAddress.js'
import { parseJsonBody } from '../common/parseJsonBody.js'
import { balancerFaultsSchema } from './balancerFaultsSchema.js'

const HISTORY_MS = 600_000
const targetsSchema = z.strictObject({ targets: z.array(z.string()) })

/**
 * TCP load balancer, blind to load: round robin over the targets as they were `lagMs` ago.
 * A connection to a dead target is reset, as a plain TCP balancer does.
 */
export class LoadBalancer implements IDisposable {
  readonly app = createApp()
  readonly faults = new FaultController(balancerFaultsSchema)
  private readonly _targets = new LaggedValue<string[]>(HISTORY_MS)
  private readonly _server = createServer({ noDelay: true, allowHalfOpen: true }, socket => this._accept(socket))
  private _turn = 0
  private _front = ''

  constructor (targets: string[], private readonly _lagMs: number) {
    this._targets.set(targets, Date.now())
    this.app.get('/ready', c => c.json({ ready: true, pid: process.pid, front: this._front }))
    this.faults.mountRoutes(this.app)
    this.app.put('/targets', async c => {
      const body = await parseJsonBody(c, targetsSchema)
      this._targets.set(body.targets, Date.now())
      return c.json(body)
    })
  }

  /** Opens the side that callers connect to and resolves with its address. */
  async listen (front: string): Promise<string> {
    this._front = await listenTcp(this._server, front)
    return this._front
  }

  dispose (): void {
    this._server.close()
  }

  private _accept (client: Socket): void {
    const targets = this._targets.get(this._lagMs, Date.now())?.value ?? []
    client.on('error', () => client.destroy())
    if (targets.length === 0 || this.faults.current.outage) {
      client.resetAndDestroy()
      return
    }
    const target = targets[this._turn % targets.length]!
    this._turn++
    const upstream = connect({ ...parseAddress(target), noDelay: true, allowHalfOpen: true })
    upstream.on('error', () => client.resetAndDestroy())
    client.on('close', () => upstream.destroy())
    upstream.on('close', () => client.destroySoon())
    client.pipe(upstream)
    upstream.pipe(client)
  }
}

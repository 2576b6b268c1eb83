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
 * Emulated TCP load balancer: round robin over the targets as they were `lagMs` ago, regardless of their load.
 * Like a plain TCP balancer, it resets the client's connection if the target cannot be reached.
 */
export class LoadBalancer implements IDisposable {
  readonly app = createApp()
  readonly faults = new FaultController(balancerFaultsSchema)
  private readonly _targets = new LaggedValue<string[]>(HISTORY_MS)
  private readonly _server = createServer({ noDelay: true, allowHalfOpen: true }, socket => this._accept(socket))
  private _nextIndex = 0
  private _frontAddress = ''

  constructor (targets: string[], private readonly _lagMs: number) {
    this._targets.set(targets, Date.now())
    this.app.get('/ready', c => c.json({ ready: true, pid: process.pid, front: this._frontAddress }))
    this.faults.mountRoutes(this.app)
    this.app.put('/targets', async c => {
      const body = await parseJsonBody(c, targetsSchema)
      this._targets.set(body.targets, Date.now())
      return c.json(body)
    })
  }

  /** Starts listening for callers and resolves with the address. */
  async listen (front: string): Promise<string> {
    this._frontAddress = await listenTcp(this._server, front)
    return this._frontAddress
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
    const target = targets[this._nextIndex % targets.length]!
    this._nextIndex++
    const upstream = connect({ ...parseAddress(target), noDelay: true, allowHalfOpen: true })
    upstream.on('error', () => client.resetAndDestroy())
    client.on('close', () => upstream.destroy())
    upstream.on('close', () => client.destroySoon())
    client.pipe(upstream)
    upstream.pipe(client)
  }
}

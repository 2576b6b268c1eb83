import { setTimeout as sleep } from 'node:timers/promises'
import type { Context, Hono } from 'hono'
import { etag } from 'hono/etag'
import { z } from 'zod'
import { memberSchema } from '../../src/common/schema/memberSchema.js'
import type { Member } from '../../src/common/schema/Member.js'
import { createApp } from '../common/createApp.js'
import { FaultController } from '../common/FaultController.js'
import { LaggedValue } from '../common/LaggedValue.js'
import { parseJsonBody } from '../common/parseJsonBody.js'
import type { StandInEnv } from '../common/StandInEnv.js'
import { startServer } from '../common/startServer.js'
import { membershipFaultsSchema } from './membershipFaultsSchema.js'

const HISTORY_MS = 600_000

const addressSchema = z.strictObject({
  address: z.string().optional(),
  peer_address: z.string().optional(),
  rpc_address: z.string().optional()
})
const viewSchema = z.strictObject({ addresses: z.record(z.string(), addressSchema) })

interface MemberList { version: number, members: Member[] }
type AddressOverrides = z.output<typeof viewSchema>['addresses']

/**
 * Emulated membership list over HTTP. A view is an additional listener that returns the same list with
 * replaced addresses, so that the connections of a single entry can be routed through fault proxies.
 */
export class MembershipServer {
  readonly app = createApp()
  readonly faults = new FaultController(membershipFaultsSchema)
  private readonly _history = new LaggedValue<MemberList>(HISTORY_MS)
  private readonly _members = new Map<string, Member>()
  private readonly _views = new Map<string, { address: string, overrides: AddressOverrides }>()
  private _version = 0

  constructor (private readonly _lagMs: number) {
    this._recordVersion()
    this.faults.mountRoutes(this.app)
    this._mountList(this.app, () => ({}))
    this.app.put('/members/:id', async c => {
      const member = await parseJsonBody(c, memberSchema)
      this._members.set(c.req.param('id'), member)
      return c.json(this._recordVersion())
    })
    this.app.delete('/members/:id', c => {
      this._members.delete(c.req.param('id'))
      return c.json(this._recordVersion())
    })
    this.app.put('/views/:name', async c => await this._putView(c))
  }

  private _mountList (app: Hono<StandInEnv>, overrides: () => AddressOverrides): void {
    app.use('/v1/members', etag())
    app.get('/v1/members', async c => {
      await sleep(this.faults.current.slow_ms)
      if (this.faults.current.outage) return c.json({ error: { kind: 'unavailable', message: 'membership unavailable' } }, 503)
      const lagMs = this.faults.current.lag_ms ?? this._lagMs
      const list = this._history.get(lagMs, Date.now())!.value
      const members = list.members.map(member => ({ ...member, ...overrides()[member.id] }))
      return c.json({ version: list.version, members })
    })
  }

  private async _putView (c: Context<StandInEnv>): Promise<Response> {
    const { addresses } = await parseJsonBody(c, viewSchema)
    const name = c.req.param('name') ?? ''
    const existing = this._views.get(name)
    if (existing !== undefined) {
      existing.overrides = addresses
      return c.json({ address: existing.address })
    }
    const view = { address: '', overrides: addresses }
    const app = createApp()
    this._mountList(app, () => view.overrides)
    view.address = (await startServer(app, '127.0.0.1:0')).address
    this._views.set(name, view)
    return c.json({ address: view.address })
  }

  private _recordVersion (): MemberList {
    const list = { version: this._version, members: [...this._members.values()] }
    this._version++
    this._history.set(list, Date.now())
    return list
  }
}

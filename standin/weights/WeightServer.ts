import { setTimeout as sleep } from 'node:timers/promises'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Context } from 'hono'
import { createApp } from '../common/createApp.js'
import { FaultController } from '../common/FaultController.js'
import { RateLimiter } from '../common/RateLimiter.js'
import type { StandInEnv } from '../common/StandInEnv.js'
import { consumeFault } from '../common/consumeFault.js'
import { weightFaultsSchema } from './weightFaultsSchema.js'

const WEIGHTS_PATH = '/v1/weights/:organisation/:trainer/:version{[0-9]+}'
const CONTENT_BYTES = 4096

/** Emulated weight store: records which versions were published and serves each load with a delay. */
export class WeightServer {
  readonly app = createApp()
  readonly faults = new FaultController(weightFaultsSchema)
  private readonly _publishedAtMs = new Map<string, number>()
  private readonly _rateLimiter: RateLimiter
  private _loadCount = 0
  private _rateLimitedCount = 0

  constructor (loadRate: number, private readonly _loadMs: number) {
    this._rateLimiter = new RateLimiter(loadRate)
    this.faults.mountRoutes(this.app)
    this.app.get('/stats', c => c.json({ loads: this._loadCount, limited: this._rateLimitedCount, published: Object.fromEntries(this._publishedAtMs) }))
    this.app.put(WEIGHTS_PATH, c => {
      if (this.faults.current.outage) return this._unavailable(c)
      const key = this._weightsKey(c)
      if (!this._publishedAtMs.has(key)) this._publishedAtMs.set(key, Date.now())
      return c.json({ published: key })
    })
    this.app.get(WEIGHTS_PATH, async c => await this._load(c))
  }

  private async _load (c: Context<StandInEnv>): Promise<Response> {
    if (this.faults.current.outage) return this._unavailable(c)
    if (!this._rateLimiter.tryAcquire()) {
      this._rateLimitedCount++
      return c.json({ error: { kind: 'rate_limited', message: 'load rate exceeded' } }, 429)
    }
    const key = this._weightsKey(c)
    if (!this._publishedAtMs.has(key)) return c.json({ error: { kind: 'not_found', message: `no weights ${key}` } }, 404)
    await sleep(this._loadMs + this.faults.current.slow_ms)
    this._loadCount++
    const { organisation, trainer, version } = c.req.param() as Record<string, string>
    const body = JSON.stringify({ organisation, trainer, version: Number(version), content: 'w'.repeat(CONTENT_BYTES) })
    if (consumeFault(this.faults.current, 'fail_loads')) return this._sendTruncated(c, body)
    return c.body(body, 200, { 'content-type': 'application/json' })
  }

  private _sendTruncated (c: Context<StandInEnv>, body: string): Response {
    const { outgoing } = c.env
    outgoing.writeHead(200, { 'content-type': 'application/json', 'content-length': String(body.length) })
    outgoing.write(body.slice(0, body.length / 2), () => outgoing.destroy())
    return RESPONSE_ALREADY_SENT
  }

  private _weightsKey (c: Context<StandInEnv>): string {
    return `${c.req.param('organisation')}/${c.req.param('trainer')}/${c.req.param('version')}`
  }

  private _unavailable (c: Context<StandInEnv>): Response {
    return c.json({ error: { kind: 'unavailable', message: 'weight store unavailable' } }, 503)
  }
}

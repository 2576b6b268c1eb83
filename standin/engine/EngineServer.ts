import { randomUUID } from 'node:crypto'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Context } from 'hono'
import { z } from 'zod'
import { createApp } from '../common/createApp.js'
import { FaultController } from '../common/FaultController.js'
import { LoadReporter } from '../common/LoadReporter.js'
import { parseJsonBody } from '../common/parseJsonBody.js'
import type { StandInEnv } from '../common/StandInEnv.js'
import { RequestScheduler } from './RequestScheduler.js'
import { CacheEventBuffer } from './CacheEventBuffer.js'
import { completionSchema } from './completionSchema.js'
import { engineFaultsSchema } from './engineFaultsSchema.js'
import type { EngineOptions } from './EngineOptions.js'
import { EngineRequest } from './EngineRequest.js'
import { ModelVersions } from './ModelVersions.js'
import { OrderQueue } from './OrderQueue.js'
import { orderSchema } from './orderSchema.js'
import { PrefixCache } from './PrefixCache.js'
import { SseSink } from './SseSink.js'

const CRASH_EXIT_CODE = 1
const MAX_RETAINED_REQUESTS = 20_000
const MAX_LEDGER_PROMPT_CHARS = 200
const exportSchema = z.strictObject({ request_id: z.string() })

/** Emulated model engine; its HTTP interface is specified in docs/design.md, section 4.3. */
export class EngineServer {
  readonly app = createApp()
  readonly faults = new FaultController(engineFaultsSchema)
  private readonly _models: ModelVersions
  private readonly _scheduler: RequestScheduler
  private readonly _orders: OrderQueue
  private readonly _loadReporter: LoadReporter
  private readonly _cacheEvents: CacheEventBuffer
  private readonly _requestsById = new Map<string, EngineRequest>()
  private readonly _history: EngineRequest[] = []

  constructor (private readonly _options: EngineOptions) {
    const faults = () => this.faults.current
    this._models = new ModelVersions(_options.model)
    this._cacheEvents = new CacheEventBuffer(_options.cacheEventLagMs, _options.cacheEventLoseEvery)
    const cache = new PrefixCache(_options.cacheBlocks, this._cacheEvents)
    this._loadReporter = new LoadReporter(_options.loadLagMs, () => this._currentLoad())
    this._scheduler = new RequestScheduler(_options, this._loadReporter.bootId, this._models, cache, faults)
    this._orders = new OrderQueue(_options, this._models, cache, this._scheduler, faults)
    this.faults.onChange(({ crash }) => { if (crash) setImmediate(() => process.exit(CRASH_EXIT_CODE)) })
    this.faults.mountRoutes(this.app)
    this._mountRoutes()
  }

  private _mountRoutes (): void {
    const { app } = this
    app.get('/ledger', c => c.json({ boot_id: this._loadReporter.bootId, requests: this._history.map(toLedgerEntry) }))
    app.get('/orders', c => c.json({ boot_id: this._loadReporter.bootId, orders: this._orders.receivedOrders }))
    app.use('/v1/*', async (_c, next) => {
      await this.faults.waitUntil(faults => !faults.freeze)
      await next()
    })
    this._loadReporter.mountRoutes(app)
    app.post('/v1/completions', async c => await this._startCompletion(c))
    app.post('/v1/requests/:id/cancel', c => {
      const request = this._requestsById.get(c.req.param('id'))
      const isCancelled = request !== undefined && this._scheduler.cancel(request)
      return c.json({ cancelled: isCancelled }, isCancelled ? 200 : 404)
    })
    app.post('/v1/kv/export', async c => {
      const request = this._requestsById.get((await parseJsonBody(c, exportSchema)).request_id)
      if (request === undefined) return c.json({ error: { kind: 'not_found', message: 'unknown request' } }, 404)
      return c.json({ kv_handle: request.exportKv() })
    })
    app.get('/v1/cache-events', c => c.json(this._cacheEvents.read(Number(c.req.query('from') ?? 0))))
    app.post('/v1/orders', async c => {
      const order = await parseJsonBody(c, orderSchema)
      if (this._orders.submit(order)) return c.json({ order_id: order.order_id }, 202)
      return c.json({ error: { kind: 'stale_fence', message: `fencing token ${order.fence} is older than ${this._orders.fencingToken}` } }, 409)
    })
    app.get('/v1/state', c => c.json({
      boot_id: this._loadReporter.bootId,
      versions: this._models.reportedVersions(),
      loading: this._orders.loading,
      role: this._orders.role,
      fence: this._orders.fencingToken,
      last_error: this._orders.lastError
    }))
  }

  private async _startCompletion (c: Context<StandInEnv>): Promise<Response> {
    const body = await parseJsonBody(c, completionSchema)
    if (!this._models.isServed(body.model)) {
      return c.json({ error: { kind: 'unknown_model', message: `model ${body.model} is not served` } }, 404)
    }
    const request = new EngineRequest(c.req.header('x-request-id') ?? randomUUID(), body)
    this._requestsById.set(request.id, request)
    this._history.push(request)
    if (this._history.length > 2 * MAX_RETAINED_REQUESTS) this._evictOldRequests()
    request.sink = new SseSink(c.env.outgoing, request.id, () => this._scheduler.cancel(request))
    this._scheduler.enqueue(request)
    return RESPONSE_ALREADY_SENT
  }

  private _evictOldRequests (): void {
    for (const old of this._history.splice(0, MAX_RETAINED_REQUESTS)) this._requestsById.delete(old.id)
  }

  private _currentLoad () {
    return {
      state: this.faults.current.leaving ? 'leaving' as const : 'serving' as const,
      // The load reporter takes its first sample before the scheduler is constructed.
      running: this._scheduler?.running.size ?? 0,
      waiting: this._scheduler?.waiting.length ?? 0,
      capacity: this._options.capacity
    }
  }
}

function toLedgerEntry (request: EngineRequest) {
  return {
    request_id: request.id,
    model: request.model,
    prompt: request.prompt.slice(0, MAX_LEDGER_PROMPT_CHARS),
    resumed: request.resumedTokens,
    tokens: request.tokenIds.length - request.resumedTokens,
    outcome: request.outcome,
    accepted_at_ms: request.acceptedAtMs,
    started_at_ms: request.startedAtMs,
    finished_at_ms: request.finishedAtMs
  }
}

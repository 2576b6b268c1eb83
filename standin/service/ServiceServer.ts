import type { Context } from 'hono'
import { createApp } from '../common/createApp.js'
import { FaultController } from '../common/FaultController.js'
import { hash } from '../common/hash.js'
import { LoadReporter } from '../common/LoadReporter.js'
import type { StandInEnv } from '../common/StandInEnv.js'
import { consumeFault } from '../common/consumeFault.js'
import { CallHistory } from './CallHistory.js'
import { sendResponse } from './sendResponse.js'
import type { ServiceResponse } from './ServiceResponse.js'
import { serviceFaultsSchema } from './serviceFaultsSchema.js'
import { WorkerPool } from './WorkerPool.js'

const CRASH_MARKER = 'crash-service'
const CRASH_EXIT_CODE = 1
const REWARD_LEVELS = 1000

interface ServiceOptions { id: string, capacity: number, serviceTimeMs: number, loadLagMs: number }
type CreateBody = (c: Context<StandInEnv>, body: string, count: number) => unknown

/** Emulated plain service with lookups, non-idempotent tickets and a scorer. */
export class ServiceServer {
  readonly app = createApp()
  readonly faults = new FaultController(serviceFaultsSchema)
  private readonly _callHistory = new CallHistory()
  private readonly _pool: WorkerPool
  private _previousResponse: ServiceResponse | undefined

  constructor (private readonly _options: ServiceOptions) {
    this._pool = new WorkerPool(_options.capacity)
    this.faults.mountRoutes(this.app)
    const loadReporter = new LoadReporter(_options.loadLagMs, () => ({
      state: this.faults.current.leaving ? 'leaving' as const : 'serving' as const,
      running: this._pool.running,
      waiting: this._pool.waiting,
      capacity: _options.capacity
    }))
    loadReporter.mountRoutes(this.app)
    this.app.get('/ledger', c => c.json({ boot_id: loadReporter.bootId, calls: this._callHistory.list(c.req.query()) }))
    this._mountRoute('GET', '/orders/:id', c => ({ id: c.req.param('id'), server: _options.id }))
    this._mountRoute('POST', '/tickets', (_c, body, count) => ({ ticket: hash.toHex(body), run: count, server: _options.id }))
    this._mountRoute('POST', '/score', (_c, body) => ({ reward: hash.toUint32(body) % REWARD_LEVELS / REWARD_LEVELS }))
  }

  private _mountRoute (method: string, path: string, createBody: CreateBody): void {
    this.app.on(method, path, async c => {
      const body = method === 'GET' ? '' : await c.req.text()
      await this.faults.waitUntil(faults => !faults.freeze)
      if (consumeFault(this.faults.current, 'reject_503')) {
        return c.json({ error: { kind: 'unavailable', message: 'rejected before it ran' } }, 503)
      }
      const response = await this._run(c, body, createBody)
      await this.faults.waitUntil(faults => !faults.freeze)
      const sentResponse = this.faults.current.swap_answers ? this._previousResponse ?? response : response
      this._previousResponse = response
      return sendResponse(c, sentResponse, this.faults.current)
    })
  }

  private async _run (c: Context<StandInEnv>, body: string, createBody: CreateBody): Promise<ServiceResponse> {
    const url = new URL(c.req.url)
    const path = decodeURI(url.pathname)
    const requestId = c.req.header('x-request-id') ?? ''
    let response: ServiceResponse | undefined
    let finish = () => {}
    await this._pool.run(() => {
      if (path.includes(CRASH_MARKER) || body.includes(CRASH_MARKER)) process.exit(CRASH_EXIT_CODE)
      const key = c.req.header('idempotency-key') ?? ''
      const call = this._callHistory.start({ key, requestId, method: c.req.method, path, body })
      finish = () => { call.finished_at_ms = Date.now() }
      response = { status: 200, requestId, body: JSON.stringify(createBody(c, body, call.count)) }
    }, () => this._options.serviceTimeMs * this.faults.current.slow_factor)
    finish()
    return response!
  }
}

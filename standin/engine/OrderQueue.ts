import { setTimeout as sleep } from 'node:timers/promises'
import { consumeFault } from '../common/consumeFault.js'
import type { RequestScheduler } from './RequestScheduler.js'
import type { EngineFaults } from './EngineFaults.js'
import type { EngineOptions } from './EngineOptions.js'
import type { ModelVersions } from './ModelVersions.js'
import type { ReceivedOrder } from './ReceivedOrder.js'
import type { PrefixCache } from './PrefixCache.js'

const WEIGHTS_FETCH_TIMEOUT_MS = 10_000

/** Runs orders sequentially. An order id that was received before is run again only if that run failed. */
export class OrderQueue {
  readonly receivedOrders: ReceivedOrder[] = []
  /** Highest fencing token received if tokens are checked, else the most recent one. */
  fencingToken = -1
  role = 'both'
  loading: unknown = null
  lastError: string | null = null
  private readonly _ordersById = new Map<string, ReceivedOrder>()
  private _lastRun: Promise<void> = Promise.resolve()

  constructor (
    private readonly _options: EngineOptions,
    private readonly _models: ModelVersions,
    private readonly _cache: PrefixCache,
    private readonly _scheduler: RequestScheduler,
    private readonly _faults: () => EngineFaults
  ) {}

  /** Enqueues an order; false if its fencing token is refused. */
  submit (order: ReceivedOrder['order']): boolean {
    const receivedOrder: ReceivedOrder = { order, received_at_ms: Date.now(), outcome: 'pending' }
    this.receivedOrders.push(receivedOrder)
    if (this._options.checkFence && order.fence < this.fencingToken) {
      receivedOrder.outcome = 'stale_fence'
      return false
    }
    this.fencingToken = order.fence
    const previous = this._ordersById.get(order.order_id)
    if (previous !== undefined && previous.outcome !== 'failed') {
      receivedOrder.outcome = 'repeated'
      return true
    }
    this._ordersById.set(order.order_id, receivedOrder)
    this._lastRun = this._lastRun.then(async () => await this._run(receivedOrder))
    return true
  }

  private async _run (receivedOrder: ReceivedOrder): Promise<void> {
    const { order } = receivedOrder
    this.loading = { kind: order.kind, ...order.value }
    try {
      if (order.kind === 'set_role') this.role = order.value.role
      else await this._load(order.value.model, order.kind === 'load_version' ? order.value.version : 0)
      receivedOrder.outcome = 'done'
      this.lastError = null
    } catch (error) {
      receivedOrder.outcome = 'failed'
      receivedOrder.error = String(error)
      this.lastError = receivedOrder.error
    }
    receivedOrder.finished_at_ms = Date.now()
    this.loading = null
  }

  private async _load (model: string, version: number): Promise<void> {
    if (this._options.weights !== '' && version > 0) await this._fetchWeights(model, version)
    if (consumeFault(this._faults(), 'fail_loads')) throw new Error(`load of ${model} version ${version} failed`)
    this._scheduler.pausedUntilMs = performance.now() + this._options.swapMs
    await sleep(this._options.swapMs)
    this._models.setVersion(model, version, !this._faults().skip_load)
    if (!this._faults().keep_cache_on_load) this._cache.evictModel(model)
  }

  private async _fetchWeights (model: string, version: number): Promise<void> {
    const url = `http://${this._options.weights}/v1/weights/${model}/${version}`
    const response = await fetch(url, { signal: AbortSignal.timeout(WEIGHTS_FETCH_TIMEOUT_MS) })
    await response.json()
    if (!response.ok) throw new Error(`weight store responded with ${response.status} for ${model} version ${version}`)
  }
}

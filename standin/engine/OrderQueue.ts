import { setTimeout as sleep } from 'node:timers/promises'
import { takeOne } from '../common/takeOne.js'
import type { Batcher } from './Batcher.js'
import type { EngineFaults } from './EngineFaults.js'
import type { EngineOptions } from './EngineOptions.js'
import type { ModelTable } from './ModelTable.js'
import type { OrderRecord } from './OrderRecord.js'
import type { PrefixCache } from './PrefixCache.js'

const FETCH_TIMEOUT_MS = 10_000

/** Runs orders one after the other. A repeated order id is not run again unless it failed. */
export class OrderQueue {
  readonly records: OrderRecord[] = []
  /** Highest fencing number when they are checked, else the last one. */
  fence = -1
  role = 'both'
  loading: unknown = null
  lastError: string | null = null
  private readonly _byId = new Map<string, OrderRecord>()
  private _tail: Promise<void> = Promise.resolve()

  constructor (
    private readonly _options: EngineOptions,
    private readonly _models: ModelTable,
    private readonly _cache: PrefixCache,
    private readonly _batcher: Batcher,
    private readonly _faults: () => EngineFaults
  ) {}

  /** False when the fencing number is refused. */
  submit (order: OrderRecord['order']): boolean {
    const record: OrderRecord = { order, received_at_ms: Date.now(), outcome: 'pending' }
    this.records.push(record)
    if (this._options.checkFence && order.fence < this.fence) {
      record.outcome = 'stale_fence'
      return false
    }
    this.fence = order.fence
    const earlier = this._byId.get(order.order_id)
    if (earlier !== undefined && earlier.outcome !== 'failed') {
      record.outcome = 'repeated'
      return true
    }
    this._byId.set(order.order_id, record)
    this._tail = this._tail.then(async () => await this._run(record))
    return true
  }

  private async _run (record: OrderRecord): Promise<void> {
    const { order } = record
    this.loading = { kind: order.kind, ...order.value }
    try {
      if (order.kind === 'set_role') this.role = order.value.role
      else await this._load(order.value.model, order.kind === 'load_version' ? order.value.version : 0)
      record.outcome = 'done'
      this.lastError = null
    } catch (error) {
      record.outcome = 'failed'
      record.error = String(error)
      this.lastError = record.error
    }
    record.finished_at_ms = Date.now()
    this.loading = null
  }

  private async _load (model: string, version: number): Promise<void> {
    if (this._options.weights !== '' && version > 0) await this._fetchWeights(model, version)
    if (takeOne(this._faults(), 'fail_loads')) throw new Error(`load of ${model} version ${version} failed`)
    this._batcher.pausedUntilMs = performance.now() + this._options.swapMs
    await sleep(this._options.swapMs)
    this._models.load(model, version, !this._faults().skip_load)
    if (!this._faults().keep_cache_on_load) this._cache.evictModel(model)
  }

  private async _fetchWeights (model: string, version: number): Promise<void> {
    const url = `http://${this._options.weights}/v1/weights/${model}/${version}`
    const response = await fetch(url, { signal: AbortSignal.timeout(FETCH_TIMEOUT_MS) })
    await response.json()
    if (!response.ok) throw new Error(`weight store answered ${response.status} for ${model} version ${version}`)
  }
}

import { withTimeout } from '../generation/withTimeout.js'
import type { ILeaseService } from '../lease/ILeaseService.js'
import type { Lease } from '../lease/Lease.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { ServiceSettings } from '../settings/ServiceSettings.js'
import type { Upstream } from '../upstream/Upstream.js'
import type { EngineOrderClient } from './EngineOrderClient.js'
import type { EngineState } from './EngineState.js'
import type { ISwapOrder } from './ISwapOrder.js'
import type { SwapCandidate } from './SwapCandidate.js'
import type { WeightTarget } from './WeightTarget.js'
import { createSwapOrder } from './createSwapOrder.js'

// Also bounds how long a restarted engine with old weights goes unnoticed.
const IDLE_POLL_INTERVAL_MS = 1000
const LOADING_POLL_INTERVAL_MS = 200
// New weights reach every server within 9 s (docs/design.md 1.7); a load that takes longer is repeated.
const LOAD_TIMEOUT_MS = 30_000
// An engine may show the error of an earlier load until it has begun the ordered one.
const EARLIER_ERROR_GRACE_MS = 1000
// An engine that is idle without error and without the version has had its load undone by another order.
const LOST_LOAD_MS = 3000
const RETRY_BACKOFF_BASE_MS = 500
const RETRY_BACKOFF_MAX_MS = 15_000

interface PendingLoad {
  target: WeightTarget
  bootId: string
  /** Error that the engine reported before the order. */
  errorBefore: string
  sentAtMs: number
  /** When the engine was last seen loading or could not be asked. */
  lastActiveAtMs: number
  /** Until then the engine counts as loading, whatever it reports. */
  timeoutAtMs: number
}

/** Rollout of one service for as long as this entry holds its lease. */
export class ServiceRollout {
  private readonly _controller = new AbortController()
  private readonly _states = new Map<string, EngineState>()
  /** When each engine was first seen loading, by its own state. */
  private readonly _loadingSinceMs = new Map<string, number>()
  private readonly _pendingLoads = new Map<string, PendingLoad>()
  private readonly _retries = new Map<string, { failures: number, dueAtMs: number }>()
  private readonly _swapOrder: ISwapOrder
  private _wake = new AbortController()

  constructor (
    private readonly _lease: Lease,
    private readonly _service: ServiceSettings,
    private readonly _leases: ILeaseService,
    private readonly _orderClient: EngineOrderClient,
    private readonly _engines: () => Upstream[],
    private readonly _targets: () => WeightTarget[],
    private readonly _logger: ILogger
  ) {
    this._swapOrder = createSwapOrder(_service.swapOrder)
  }

  /** Runs until stopped or until an engine refuses the fencing number. */
  async run (): Promise<void> {
    while (!this._controller.signal.aborted) {
      await this._runRound()
      if (this._wake.signal.aborted) this._wake = new AbortController()
      const pauseMs = this._pendingLoads.size > 0 ? LOADING_POLL_INTERVAL_MS : IDLE_POLL_INTERVAL_MS
      await withTimeout(new Promise<never>(() => {}), pauseMs, AbortSignal.any([this._wake.signal, this._controller.signal]))
    }
  }

  /** Ends the pause, for example because there are new weights. */
  wake (): void {
    this._wake.abort()
  }

  /** Stops all sending at once; requests on their way are cut off. */
  stop (): void {
    this._controller.abort()
  }

  private async _runRound (): Promise<void> {
    const engines = this._engines()
    await Promise.all(engines.map(async (engine) => {
      const state = await this._orderClient.readState(engine.address, this._controller.signal)
      if (state === undefined) this._states.delete(engine.id)
      else this._states.set(engine.id, state)
    }))
    for (const engine of engines) {
      this._checkPendingLoad(engine)
      if (!isLoading(this._states.get(engine.id))) this._loadingSinceMs.delete(engine.id)
      else if (!this._loadingSinceMs.has(engine.id)) this._loadingSinceMs.set(engine.id, performance.now())
    }
    const ids = new Set(engines.map(({ id }) => id))
    for (const id of this._pendingLoads.keys()) {
      if (!ids.has(id)) this._pendingLoads.delete(id)
    }
    await Promise.all(this._chooseSwaps(engines).map(({ engine, target }) => this._sendOrder(engine, target)))
  }

  /** Compares an order with the state read back. */
  private _checkPendingLoad (engine: Upstream): void {
    const loading = this._pendingLoads.get(engine.id)
    const state = this._states.get(engine.id)
    if (loading === undefined) return
    if (state !== undefined && loadedVersion(state, loading.target) >= loading.target.version) {
      this._pendingLoads.delete(engine.id)
      this._retries.delete(engine.id)
      this._logger.info({ upstream: engine.id, model: loading.target.model, version: loading.target.version }, 'weights_loaded')
      return
    }
    if (state === undefined || isLoading(state)) loading.lastActiveAtMs = performance.now()
    const isIdle = performance.now() - loading.lastActiveAtMs > LOST_LOAD_MS
    const hasRestarted = state !== undefined && state.boot_id !== loading.bootId
    const hasError = state !== undefined && !isLoading(state) && Boolean(state.last_error)
    const isNewError = lastErrorText(state) !== loading.errorBefore || performance.now() - loading.sentAtMs > EARLIER_ERROR_GRACE_MS
    const hasFailed = hasError && isNewError
    if (!hasRestarted && !hasFailed && !isIdle && performance.now() < loading.timeoutAtMs) return
    this._recordFailure(engine, state?.last_error)
  }

  private _chooseSwaps (engines: Upstream[]): SwapCandidate[] {
    // An engine that hangs while loading must not hold up the others for ever.
    const busy = engines.filter(({ id }) => this._pendingLoads.has(id) ||
      performance.now() - (this._loadingSinceMs.get(id) ?? -Infinity) < LOAD_TIMEOUT_MS)
    // At least one engine keeps serving while others load.
    const parallel = Math.max(1, Math.min(this._service.swapParallel, engines.length - 1))
    const candidates = engines.flatMap((engine) => {
      const state = this._states.get(engine.id)
      const { failures, dueAtMs } = this._retries.get(engine.id) ?? { failures: 0, dueAtMs: 0 }
      const isDue = dueAtMs <= performance.now()
      if (state === undefined || !isDue || busy.includes(engine) || !this._mayReceiveOrders(engine)) return []
      return this._targets()
        .map((target) => ({ engine, target, lag: target.version - loadedVersion(state, target), failures }))
        .filter(({ lag }) => lag > 0)
    })
    const chosen: SwapCandidate[] = []
    for (const candidate of this._swapOrder.sort(candidates)) {
      if (busy.length + chosen.length >= parallel) break
      if (!chosen.some(({ engine }) => engine === candidate.engine)) chosen.push(candidate)
    }
    return chosen
  }

  /** Engines that ignore fencing numbers get orders only if the settings list them. */
  private _mayReceiveOrders (engine: Upstream): boolean {
    return this._service.checksFence || this._service.orderAddresses.includes(engine.address)
  }

  private async _sendOrder (engine: Upstream, target: WeightTarget): Promise<void> {
    const state = this._states.get(engine.id)
    const lease = this._leases.held(this._lease.name)
    if (lease === undefined || lease.fence !== this._lease.fence || this._controller.signal.aborted) {
      this.stop()
      return
    }
    // Counts as loading from the moment of sending, because a lost response may hide an accepted order.
    const sentAtMs = performance.now()
    const before = { bootId: state?.boot_id ?? '', errorBefore: lastErrorText(state) }
    this._pendingLoads.set(engine.id, { target, ...before, sentAtMs, lastActiveAtMs: sentAtMs, timeoutAtMs: sentAtMs + LOAD_TIMEOUT_MS })
    const result = await this._orderClient.orderVersion(engine.address, target, lease.fence, this._controller.signal)
    if (result === 'stale_fence') {
      this._logger.warn({ upstream: engine.id, fence: lease.fence }, 'order_fence_stale')
      this.stop()
    } else if (result === 'unknown') {
      this._recordFailure(engine, 'the order was not accepted')
    }
  }

  private _recordFailure (engine: Upstream, reason: unknown): void {
    const failures = (this._retries.get(engine.id)?.failures ?? 0) + 1
    const pauseMs = Math.min(RETRY_BACKOFF_MAX_MS, RETRY_BACKOFF_BASE_MS * 2 ** (failures - 1)) * (0.5 + Math.random() / 2)
    this._pendingLoads.delete(engine.id)
    this._retries.set(engine.id, { failures, dueAtMs: performance.now() + pauseMs })
    this._logger.warn({ upstream: engine.id, failures, reason: JSON.stringify(reason) }, 'weights_load_failed')
  }
}

function loadedVersion (state: EngineState, target: WeightTarget): number {
  return state.versions[target.model] ?? 0
}

function lastErrorText (state: EngineState | undefined): string {
  return JSON.stringify(state?.last_error ?? null)
}

function isLoading (state: EngineState | undefined): boolean {
  const loading = state?.loading
  return Array.isArray(loading) ? loading.length > 0 : Boolean(loading)
}

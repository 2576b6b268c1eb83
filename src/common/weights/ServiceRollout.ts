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

// Also bounds the time until a restarted engine with old weights is detected.
const IDLE_POLL_INTERVAL_MS = 1000
const LOADING_POLL_INTERVAL_MS = 200
// New weights reach every server within 9 s (docs/design.md 1.7); a load that exceeds this timeout is repeated.
const LOAD_TIMEOUT_MS = 30_000
// An engine may report the error of an earlier load until it has started the ordered one.
const EARLIER_ERROR_GRACE_MS = 1000
// If an engine is idle for this long with neither an error nor the version, another order has undone its load.
const LOST_LOAD_MS = 3000
const RETRY_BACKOFF_BASE_MS = 500
const RETRY_BACKOFF_MAX_MS = 15_000

/** A load that was ordered and has neither completed nor failed yet. */
interface PendingLoad {
  target: WeightTarget
  bootId: string
  /** Error that the engine reported before the order, as JSON. */
  errorBefore: string
  sentAtMs: number
  /** When the engine last reported that it was loading, or its state could not be read. */
  lastActiveAtMs: number
  /** When the load counts as failed even if the engine reports that it is still loading. */
  timeoutAtMs: number
}

/** Rolls out new weights to the engines of one service while this entry holds the service's lease. */
export class ServiceRollout {
  private readonly _stopController = new AbortController()
  /** Last state of each engine; absent if the last read failed. */
  private readonly _states = new Map<string, EngineState>()
  /** When each engine that is loading first reported so. */
  private readonly _loadingSinceMs = new Map<string, number>()
  private readonly _pendingLoads = new Map<string, PendingLoad>()
  /** Consecutive failures of each engine, and the `performance.now()` from which it may be ordered again. */
  private readonly _retries = new Map<string, { failures: number, dueAtMs: number }>()
  private readonly _swapOrder: ISwapOrder
  private _wakeController = new AbortController()

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

  /** Runs until stopped, or until the lease is lost or an engine rejects the fencing token. */
  async run (): Promise<void> {
    while (!this._stopController.signal.aborted) {
      await this._runRound()
      if (this._wakeController.signal.aborted) this._wakeController = new AbortController()
      const intervalMs = this._pendingLoads.size > 0 ? LOADING_POLL_INTERVAL_MS : IDLE_POLL_INTERVAL_MS
      await withTimeout(new Promise<never>(() => {}), intervalMs, AbortSignal.any([this._wakeController.signal, this._stopController.signal]))
    }
  }

  /** Starts the next round at once, for example because there are new weights. */
  wake (): void {
    this._wakeController.abort()
  }

  /** Stops sending orders at once and aborts requests in flight. */
  stop (): void {
    this._stopController.abort()
  }

  private async _runRound (): Promise<void> {
    const engines = this._engines()
    await Promise.all(engines.map(async (engine) => {
      const state = await this._orderClient.readState(engine.address, this._stopController.signal)
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

  /** Ends a pending load that the engine's state shows to have completed or failed. */
  private _checkPendingLoad (engine: Upstream): void {
    const pending = this._pendingLoads.get(engine.id)
    const state = this._states.get(engine.id)
    if (pending === undefined) return
    if (state !== undefined && loadedVersion(state, pending.target) >= pending.target.version) {
      this._pendingLoads.delete(engine.id)
      this._retries.delete(engine.id)
      this._logger.info({ upstream: engine.id, model: pending.target.model, version: pending.target.version }, 'weights_loaded')
      return
    }
    if (state === undefined || isLoading(state)) pending.lastActiveAtMs = performance.now()
    const isLost = performance.now() - pending.lastActiveAtMs > LOST_LOAD_MS
    const hasRestarted = state !== undefined && state.boot_id !== pending.bootId
    const hasError = state !== undefined && !isLoading(state) && Boolean(state.last_error)
    const isNewError = lastErrorText(state) !== pending.errorBefore || performance.now() - pending.sentAtMs > EARLIER_ERROR_GRACE_MS
    const hasFailed = hasError && isNewError
    if (!hasRestarted && !hasFailed && !isLost && performance.now() < pending.timeoutAtMs) return
    this._recordFailure(engine, state?.last_error)
  }

  /** Chooses the loads to order now: at most one for each engine, and no more than may run at once. */
  private _chooseSwaps (engines: Upstream[]): SwapCandidate[] {
    // An engine that hangs while loading stops counting after the timeout, so that it does not block the others forever.
    const swappingEngines = engines.filter(({ id }) => this._pendingLoads.has(id) ||
      performance.now() - (this._loadingSinceMs.get(id) ?? -Infinity) < LOAD_TIMEOUT_MS)
    // At least one engine keeps serving while others load.
    const maxParallel = Math.max(1, Math.min(this._service.swapParallel, engines.length - 1))
    const candidates = engines.flatMap((engine) => {
      const state = this._states.get(engine.id)
      const { failures, dueAtMs } = this._retries.get(engine.id) ?? { failures: 0, dueAtMs: 0 }
      const isDue = dueAtMs <= performance.now()
      if (state === undefined || !isDue || swappingEngines.includes(engine) || !this._mayReceiveOrders(engine)) return []
      return this._targets()
        .map((target) => ({ engine, target, lag: target.version - loadedVersion(state, target), failures }))
        .filter(({ lag }) => lag > 0)
    })
    const chosen: SwapCandidate[] = []
    for (const candidate of this._swapOrder.sort(candidates)) {
      if (swappingEngines.length + chosen.length >= maxParallel) break
      if (!chosen.some(({ engine }) => engine === candidate.engine)) chosen.push(candidate)
    }
    return chosen
  }

  /** Engines that do not check fencing tokens receive orders only if the settings list their address. */
  private _mayReceiveOrders (engine: Upstream): boolean {
    return this._service.checksFence || this._service.orderAddresses.includes(engine.address)
  }

  private async _sendOrder (engine: Upstream, target: WeightTarget): Promise<void> {
    const state = this._states.get(engine.id)
    const lease = this._leases.held(this._lease.name)
    if (lease === undefined || lease.fence !== this._lease.fence || this._stopController.signal.aborted) {
      this.stop()
      return
    }
    // The load is pending from the moment of sending, because an accepted order's response may be lost.
    const sentAtMs = performance.now()
    const stateBefore = { bootId: state?.boot_id ?? '', errorBefore: lastErrorText(state) }
    this._pendingLoads.set(engine.id, { target, ...stateBefore, sentAtMs, lastActiveAtMs: sentAtMs, timeoutAtMs: sentAtMs + LOAD_TIMEOUT_MS })
    const result = await this._orderClient.orderVersion(engine.address, target, lease.fence, this._stopController.signal)
    if (result === 'stale_fence') {
      this._logger.warn({ upstream: engine.id, fence: lease.fence }, 'order_fence_stale')
      this.stop()
    } else if (result === 'unknown') {
      this._recordFailure(engine, 'engine did not accept the order')
    }
  }

  private _recordFailure (engine: Upstream, reason: unknown): void {
    const failures = (this._retries.get(engine.id)?.failures ?? 0) + 1
    const backoffMs = Math.min(RETRY_BACKOFF_MAX_MS, RETRY_BACKOFF_BASE_MS * 2 ** (failures - 1)) * (0.5 + Math.random() / 2)
    this._pendingLoads.delete(engine.id)
    this._retries.set(engine.id, { failures, dueAtMs: performance.now() + backoffMs })
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

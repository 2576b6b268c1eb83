import type { IBatchWorkload } from '../batch/run/IBatchWorkload.js'
import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { IFleet } from '../fleet/IFleet.js'
import { Disposable } from '../kernel/Disposable.js'
import { startInterval } from '../kernel/startInterval.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { IVersionOrderStore } from './IVersionOrderStore.js'
import type { ILeadership } from '../store/ILeadership.js'
import type { ModelAssignments } from './ModelAssignments.js'
import type { IVersionOrderClient } from './IVersionOrderClient.js'
import { planVersionLoads } from './planVersionLoads.js'
import type { AnnouncedVersions } from './AnnouncedVersions.js'

const TICK_MS = 50
/** Share of the engines of a service that can load at the same time at full speed. */
const CONCURRENT_LOAD_SHARE = 0.3
const MIN_CONCURRENT_LOADS = 2
/** An engine that does not report the version within this time receives another order. */
const LOAD_TIMEOUT_MS = 4000
/** Expected duration of a load until the first one has been measured. */
const INITIAL_LOAD_MS = 900
/** Weight of a new measurement in the exponential moving average of the load duration. */
const SMOOTHING_FACTOR = 0.3
const RETRY_BACKOFF_MS = 500
/** Added to the conflict window after a takeover. */
const TAKEOVER_MARGIN_MS = 300
/** Maximum difference between the wall clocks of two hosts. */
const MAX_CLOCK_SKEW_MS = 2500

/** Version orders to one engine: the number accepted so far, the earliest time of the next, and the load in progress. */
interface EngineOrderState { acceptedCount?: number, notBeforeMs: number, pendingVersion?: number, pendingModel?: string, sentAtMs: number, isOrdering: boolean }

interface VersionRolloutOptions {
  epoch: number
  /** Name of this entry in orders. */
  holder: string
  /** Orders of two holders to one engine within this time conflict. */
  conflictWindowMs: number
  workload: IBatchWorkload
  orderStore: IVersionOrderStore
}

/** Orders engines to load the versions that trainers have announced, while this entry leads in one epoch. */
export class VersionRollout extends Disposable {
  private readonly _orderStates = new WeakMap<FleetUpstream, EngineOrderState>()
  /** Moving average of the load duration. */
  private _loadMs = INITIAL_LOAD_MS
  private readonly _startedAtMs = performance.now()

  constructor (
    private readonly _options: VersionRolloutOptions,
    private readonly _leadership: ILeadership,
    private readonly _fleet: IFleet,
    private readonly _announced: AnnouncedVersions,
    private readonly _assignments: ModelAssignments,
    private readonly _orderClient: IVersionOrderClient,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    this._register(startInterval(() => this._tick(), TICK_MS))
  }

  private _tick (): void {
    if (this._leadership.validEpoch() !== this._options.epoch) return
    for (const [service, engines] of this._enginesByService()) this._tickService(service, engines)
  }

  private _enginesByService (): Map<string, FleetUpstream[]> {
    const byService = new Map<string, FleetUpstream[]>()
    for (const engine of this._fleet.all()) {
      if (engine.member.versions.size === 0 || engine.isLeaving) continue
      byService.set(engine.member.service, [...byService.get(engine.member.service) ?? [], engine])
    }
    return byService
  }

  private _tickService (service: string, engines: FleetUpstream[]): void {
    for (const engine of engines) this._checkLoad(engine)
    const maxLoads = Math.max(MIN_CONCURRENT_LOADS, Math.floor(engines.length * CONCURRENT_LOAD_SHARE))
    let freeLoadSlots = maxLoads - engines.filter(engine => this._isPending(engine)).length
    for (const [model, announced] of this._announced.all()) {
      const assigned = this._assignments.enginesOf(service, model)
      const views = engines
        .filter(engine => engine.versionOf(model) > 0 && (assigned === undefined || assigned.has(engine.member.id)))
        .map(engine => ({
          id: engine.member.id,
          version: engine.versionOf(model),
          running: this._options.workload.countRunsOn(engine.member.id, model),
          runningSingleVersion: this._options.workload.countSingleVersionRunsOn(engine.member.id, model),
          eventIntervalMs: engine.averageMs ?? 0,
          isLoading: this._isPending(engine) || engine.isExcluded || performance.now() < this._stateOf(engine).notBeforeMs
        }))
      const { count, minVersion } = this._options.workload.countWaitingItems(model)
      const announcedForMs = performance.now() - announced.announcedAtMs
      const ids = planVersionLoads({ engines: views, newestVersion: announced.version, announcedForMs, waitingItemCount: count, minVersion, freeLoadSlots })
      for (const id of ids) {
        const engine = this._fleet.find(id)
        if (engine === undefined) continue
        freeLoadSlots -= 1
        this._sendOrder(engine, model, announced.version).catch((fault: unknown) => this._logger.error({ upstream: id, reason: String(fault) }, 'version_order_fault'))
      }
    }
  }

  private _stateOf (engine: FleetUpstream): EngineOrderState {
    const state = this._orderStates.get(engine) ?? { notBeforeMs: this._conflictEndsAtMs(engine), sentAtMs: 0, isOrdering: false }
    this._orderStates.set(engine, state)
    return state
  }

  /** Until when an engine may not receive orders, because the previous holder may have sent it one recently. */
  private _conflictEndsAtMs (engine: FleetUpstream): number {
    const orderedAtMs = this._options.orderStore.lastOrderedAtMs(engine.member.id)
    const isRecent = orderedAtMs !== undefined && Date.now() - orderedAtMs < this._options.conflictWindowMs + MAX_CLOCK_SKEW_MS
    return isRecent ? this._startedAtMs + this._options.conflictWindowMs + TAKEOVER_MARGIN_MS : 0
  }

  private _isPending (engine: FleetUpstream): boolean {
    const state = this._stateOf(engine)
    return state.isOrdering || state.pendingVersion !== undefined
  }

  private _checkLoad (engine: FleetUpstream): void {
    const state = this._stateOf(engine)
    if (state.isOrdering || state.pendingVersion === undefined || state.pendingModel === undefined) return
    const isLoaded = engine.versionOf(state.pendingModel) >= state.pendingVersion
    const durationMs = performance.now() - state.sentAtMs
    if (!isLoaded && durationMs < LOAD_TIMEOUT_MS) return
    if (isLoaded) {
      this._metrics.duration('version_load', durationMs)
      this._loadMs += SMOOTHING_FACTOR * (durationMs - this._loadMs)
    }
    this._logger.info({ upstream: engine.member.id, model: state.pendingModel, version: state.pendingVersion, duration_ms: Math.round(durationMs) }, isLoaded ? 'version_loaded' : 'version_load_overdue')
    state.pendingVersion = undefined
    this._options.workload.setLoading(engine.member.id, state.pendingModel, 0, 0)
    // After an overdue load it is unknown how many orders the engine has accepted.
    if (!isLoaded) state.acceptedCount = undefined
  }

  private async _sendOrder (engine: FleetUpstream, model: string, version: number): Promise<void> {
    const state = this._stateOf(engine)
    state.isOrdering = true
    state.acceptedCount ??= await this._orderClient.acceptedOrderCount(engine)
    const isRecorded = state.acceptedCount !== undefined && await this._options.orderStore.recordOrder(engine.member.id, Date.now())
    const isStillHolder = isRecorded && this._leadership.validEpoch() === this._options.epoch
    // A run may have started there since the load was planned.
    const isFree = this._options.workload.countSingleVersionRunsOn(engine.member.id, model) === 0
    if (state.acceptedCount === undefined || !isStillHolder || !isFree) {
      state.isOrdering = false
      state.notBeforeMs = performance.now() + RETRY_BACKOFF_MS
      return
    }
    const expectedCount = state.acceptedCount
    state.sentAtMs = performance.now()
    state.pendingModel = model
    state.pendingVersion = version
    this._options.workload.setLoading(engine.member.id, model, LOAD_TIMEOUT_MS, this._loadMs)
    const outcome = await this._orderClient.send(engine, { model, version, mode: 'keep_runs', holder: this._options.holder, epoch: this._options.epoch, expectedCount })
    state.isOrdering = false
    this._logger.info({ upstream: engine.member.id, model, version, epoch: this._options.epoch, expected_count: expectedCount, outcome }, 'version_ordered')
    this._metrics.count('version_orders', { outcome })
    if (outcome === 'accepted') {
      state.acceptedCount = expectedCount + 1
    } else if (outcome === 'already_done') {
      engine.recordVersion(model, version)
    } else if (outcome !== 'unknown') {
      state.pendingVersion = undefined
      state.acceptedCount = undefined
      state.notBeforeMs = performance.now() + RETRY_BACKOFF_MS
      this._options.workload.setLoading(engine.member.id, model, 0, 0)
    }
  }
}

import type { IBatchWorkload } from '../batch/run/IBatchWorkload.js'
import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { IFleet } from '../fleet/IFleet.js'
import { Disposable } from '../kernel/Disposable.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { IVersionOrderStore } from './IVersionOrderStore.js'
import type { ILeadership } from '../store/ILeadership.js'
import type { ModelAssignments } from './ModelAssignments.js'
import type { IVersionOrderClient } from './IVersionOrderClient.js'
import { planVersionLoads } from './planVersionLoads.js'
import type { AnnouncedVersions } from './AnnouncedVersions.js'

const TICK_MS = 50
/** Share of the engines of a service that load at full speed side by side. */
const LOADING_SHARE = 0.3
const MIN_LOADING = 2
/** After this time an engine that does not show its version is asked again. */
const LOAD_LIMIT_MS = 4000
/** Expected time of a load before one has been seen. */
const FIRST_LOAD_MS = 900
const LEARN_WEIGHT = 0.3
const RETRY_PAUSE_MS = 500
/** Beyond the time in which orders of two holders count as turns. */
const TAKEOVER_MARGIN_MS = 300
/** Wall clocks of two hosts may differ so much. */
const CLOCK_ERROR_MS = 2500

interface EngineMemory { acceptedCount?: number, notBeforeMs: number, pendingVersion?: number, pendingModel?: string, sentAtMs: number, isBusy: boolean }

interface VersionRolloutOptions {
  epoch: number
  /** Name of this host in orders. */
  holder: string
  /** Two holders may not give orders within this time. */
  conflictWindowMs: number
  workload: IBatchWorkload
  orderStore: IVersionOrderStore
}

/** Moves engines to the versions that trainers have named, as the one holder of an epoch. */
export class VersionRollout extends Disposable {
  private readonly _memory = new WeakMap<FleetUpstream, EngineMemory>()
  /** How long a load takes, as seen so far. */
  private _loadMs = FIRST_LOAD_MS
  private readonly _startedAtMs = performance.now()

  constructor (
    private readonly _term: VersionRolloutOptions,
    private readonly _leadership: ILeadership,
    private readonly _fleet: IFleet,
    private readonly _names: AnnouncedVersions,
    private readonly _homes: ModelAssignments,
    private readonly _orders: IVersionOrderClient,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    const timer = setInterval(() => this._tick(), TICK_MS)
    this._register(toDisposable(() => clearInterval(timer)))
  }

  private _tick (): void {
    if (this._leadership.validEpoch() !== this._term.epoch) return
    for (const [service, engines] of this._enginesByService()) this._tickService(service, engines)
  }

  private _enginesByService (): Map<string, FleetUpstream[]> {
    const byService = new Map<string, FleetUpstream[]>()
    for (const engine of this._fleet.all()) {
      if (engine.member.versions.size === 0 || engine.member.isDraining) continue
      byService.set(engine.member.service, [...byService.get(engine.member.service) ?? [], engine])
    }
    return byService
  }

  private _tickService (service: string, engines: FleetUpstream[]): void {
    for (const engine of engines) this._noteDone(engine)
    const maxLoading = Math.max(MIN_LOADING, Math.floor(engines.length * LOADING_SHARE))
    let freeLoads = maxLoading - engines.filter(engine => this._isPending(engine)).length
    for (const [model, named] of this._names.all()) {
      const home = this._homes.enginesOf(service, model)
      const views = engines
        .filter(engine => engine.versionOf(model) > 0 && (home === undefined || home.has(engine.member.id)))
        .map(engine => ({
          id: engine.member.id,
          version: engine.versionOf(model),
          running: this._term.workload.countRunsOn(engine.member.id, model),
          paceMs: engine.averageMs ?? 0,
          isLoading: this._isPending(engine) || engine.isExcluded || performance.now() < this._of(engine).notBeforeMs
        }))
      const { count, minVersion } = this._term.workload.countWaitingItems(model)
      const namedForMs = performance.now() - named.namedAtMs
      const ids = planVersionLoads({ engines: views, newestVersion: named.version, announcedForMs: namedForMs, waitingItemCount: count, minVersion, freeLoadSlots: freeLoads })
      for (const id of ids) {
        const engine = this._fleet.find(id)
        if (engine === undefined) continue
        freeLoads -= 1
        this._order(engine, model, named.version).catch((fault: unknown) => this._logger.error({ upstream: id, reason: String(fault) }, 'version_order_fault'))
      }
    }
  }

  private _of (engine: FleetUpstream): EngineMemory {
    const known = this._memory.get(engine) ?? { notBeforeMs: this._turnEndsAtMs(engine), sentAtMs: 0, isBusy: false }
    this._memory.set(engine, known)
    return known
  }

  /** An engine that the holder before may have ordered lately has to wait until that is no turn any more. */
  private _turnEndsAtMs (engine: FleetUpstream): number {
    const orderedAtMs = this._term.orderStore.lastOrderedAtMs(engine.member.id)
    const isRecent = orderedAtMs !== undefined && Date.now() - orderedAtMs < this._term.conflictWindowMs + CLOCK_ERROR_MS
    return isRecent ? this._startedAtMs + this._term.conflictWindowMs + TAKEOVER_MARGIN_MS : 0
  }

  private _isPending (engine: FleetUpstream): boolean {
    const memory = this._of(engine)
    return memory.isBusy || memory.pendingVersion !== undefined
  }

  private _noteDone (engine: FleetUpstream): void {
    const memory = this._of(engine)
    if (memory.isBusy || memory.pendingVersion === undefined || memory.pendingModel === undefined) return
    const isDone = engine.versionOf(memory.pendingModel) >= memory.pendingVersion
    const durationMs = performance.now() - memory.sentAtMs
    if (!isDone && durationMs < LOAD_LIMIT_MS) return
    if (isDone) {
      this._metrics.duration('version_load', durationMs)
      this._loadMs += LEARN_WEIGHT * (durationMs - this._loadMs)
    }
    this._logger.info({ upstream: engine.member.id, model: memory.pendingModel, version: memory.pendingVersion, duration_ms: Math.round(durationMs) }, isDone ? 'version_loaded' : 'version_load_overdue')
    memory.pendingVersion = undefined
    this._term.workload.setLoading(engine.member.id, memory.pendingModel, 0, 0)
    // What the engine has accepted is unknown after an overdue load.
    if (!isDone) memory.acceptedCount = undefined
  }

  private async _order (engine: FleetUpstream, model: string, version: number): Promise<void> {
    const memory = this._of(engine)
    memory.isBusy = true
    memory.acceptedCount ??= await this._orders.acceptedOrderCount(engine)
    const isNoted = memory.acceptedCount !== undefined && await this._term.orderStore.recordOrder(engine.member.id, Date.now())
    const isStillHolder = isNoted && this._leadership.validEpoch() === this._term.epoch
    if (memory.acceptedCount === undefined || !isStillHolder) {
      memory.isBusy = false
      memory.notBeforeMs = performance.now() + RETRY_PAUSE_MS
      return
    }
    const expectedCount = memory.acceptedCount
    memory.sentAtMs = performance.now()
    memory.pendingModel = model
    memory.pendingVersion = version
    this._term.workload.setLoading(engine.member.id, model, LOAD_LIMIT_MS, this._loadMs)
    const end = await this._orders.send(engine, { model, version, mode: 'keep_runs', holder: this._term.holder, epoch: this._term.epoch, expectedCount })
    memory.isBusy = false
    this._logger.info({ upstream: engine.member.id, model, version, epoch: this._term.epoch, expected_count: expectedCount, outcome: end }, 'version_ordered')
    this._metrics.count('version_orders', { outcome: end })
    if (end === 'accepted') {
      memory.acceptedCount = expectedCount + 1
    } else if (end === 'already_done') {
      engine.recordVersion(model, version)
    } else if (end !== 'unknown') {
      memory.pendingVersion = undefined
      memory.acceptedCount = undefined
      memory.notBeforeMs = performance.now() + RETRY_PAUSE_MS
      this._term.workload.setLoading(engine.member.id, model, 0, 0)
    }
  }
}

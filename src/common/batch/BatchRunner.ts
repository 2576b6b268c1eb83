import { Disposable } from '../kernel/Disposable.js'
import type { IDisposable } from '../kernel/IDisposable.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { IFleet } from '../fleet/IFleet.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { IRouteTable } from '../routing/IRouteTable.js'
import { pickService } from '../routing/pickService.js'
import type { Route } from '../routing/Route.js'
import type { Batch } from './Batch.js'
import { chooseEngine } from './chooseEngine.js'
import type { EngineRunEnd } from './EngineRunEnd.js'
import type { EngineView } from './EngineView.js'
import type { IBatchStore } from './IBatchStore.js'
import type { IEngineLoads } from './IEngineLoads.js'
import type { IEngineTransport } from './IEngineTransport.js'
import { ItemRun } from './ItemRun.js'
import type { ItemState } from './ItemState.js'
import { LengthEstimator } from './LengthEstimator.js'
import { ProgressCache } from './ProgressCache.js'
import { rankItems } from './rankItems.js'

const TICK_MS = 100
/** Expected time between two events of an engine that has not shown its pace. */
const DEFAULT_PACE_MS = 45
/** Pause before an item that its engine refused is sent again. */
const REFUSED_PAUSE_MS = 60
const BROKEN_PAUSE_MS = 20
/** A silent stream is given up after this many usual pauses between events. */
const STALL_PACES = 14
const MIN_STALL_MS = 700
/** A run moves when another engine would end it this much sooner, counting what the move costs. */
const MOVE_GAIN_MS = 500
const MOVE_PACE_RATIO = 1.8
const MIN_RUN_BEFORE_MOVE_MS = 400
/** A batch is worth nothing to its trainer much later than its deadline. */
const FIRST_RETRY_FAILURES = 3

/** Sends the items of all open batches to engines and turns what they generate into results. */
export class BatchRunner extends Disposable implements IEngineLoads {
  private readonly _runs = new Map<ItemState, ItemRun>()
  private readonly _estimator = new LengthEstimator()
  private readonly _progress = new ProgressCache()
  /** Engines that ran an item of a group, by group. */
  private readonly _enginesByGroup = new Map<string, Set<string>>()
  private readonly _loadingUntilMs = new Map<string, number>()
  private _isDispatching = false
  private _isPaused = false

  constructor (
    private readonly _batches: IBatchStore,
    private readonly _fleet: IFleet,
    private readonly _routes: IRouteTable,
    private readonly _transport: IEngineTransport,
    private readonly _homeEngines: (service: string, model: string) => ReadonlySet<string> | undefined,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    this._register(this._batches.onChanged(() => this._dispatchSoon()))
    this._register(this._batches.onEnded(batch => this._onEnded(batch)))
    this._register(this._fleet.onChanged(() => this._dispatchSoon()))
    this._register(this._fleet.onGone(upstream => this._onGone(upstream)))
    const timer = setInterval(() => this._tick(), TICK_MS)
    this._register(toDisposable(() => {
      clearInterval(timer)
      this._isPaused = true
      for (const run of this._runs.values()) run.cancel('stopped')
    }))
    this._dispatchSoon()
  }

  /** Ties the life of another service to this one. */
  own (service: IDisposable): void {
    this._register(service)
  }

  runningOn (engineId: string, model?: string): number {
    let count = 0
    for (const run of this._runs.values()) {
      if (run.engine.member.id === engineId && (model === undefined || run.batch.spec.model === model)) count += 1
    }
    return count
  }

  waitingFor (model: string): { count: number, minVersion: number | undefined } {
    let count = 0
    let minVersion: number | undefined
    for (const batch of this._batches.all()) {
      if (!batch.isOpen || batch.spec.model !== model) continue
      minVersion = Math.max(minVersion ?? 0, batch.spec.minVersion)
      for (const state of batch.items) if (state.status === 'waiting') count += 1
    }
    return { count, minVersion }
  }

  noteLoading (engineId: string, forMs: number): void {
    if (forMs > 0) this._loadingUntilMs.set(engineId, performance.now() + forMs)
    else this._loadingUntilMs.delete(engineId)
    this._dispatchSoon()
  }

  isLoading (engineId: string): boolean {
    return performance.now() < (this._loadingUntilMs.get(engineId) ?? 0)
  }

  /** Stops all runs and returns what they have generated. */
  stop (): Array<{ batch: Batch, index: number, progress: ItemState['progress'] }> {
    this._isPaused = true
    const saved = [...this._runs.values()].map(run => ({ batch: run.batch, index: run.state.index, progress: run.state.progress }))
    for (const run of this._runs.values()) run.cancel('handed over')
    return saved.filter(entry => entry.progress.events.length > 0)
  }

  private _tick (): void {
    for (const run of this._runs.values()) this._checkRun(run)
    this._dispatchSoon()
    this._metrics.gauge('batch_items_running', this._runs.size)
  }

  private _dispatchSoon (): void {
    if (this._isDispatching || this._isPaused) return
    this._isDispatching = true
    setImmediate(() => {
      this._isDispatching = false
      if (!this._isPaused) this._dispatch()
    })
  }

  private _dispatch (): void {
    const nowMs = Date.now()
    const open = [...this._batches.all()].filter(batch => batch.isOpen)
    open.sort((a, b) => a.spec.submittedAtMs - b.spec.submittedAtMs)
    const views = new Map<string, EngineView[]>()
    for (const batch of open) {
      const route = this._routes.find(batch.spec.host, batch.spec.path)
      if (route === undefined || route.kind !== 'batch') continue
      const service = pickService(route, 0)
      if (service === undefined) continue
      if (nowMs > batch.spec.submittedAtMs + route.batchRetentionMs) {
        this._giveUp(batch)
        continue
      }
      const key = `${service} ${batch.spec.model}`
      const engines = views.get(key) ?? this._views(service, batch.spec.model)
      views.set(key, engines)
      this._dispatchBatch(batch, route, engines)
    }
  }

  private _dispatchBatch (batch: Batch, route: Route, engines: EngineView[]): void {
    const nowMs = performance.now()
    for (const { state } of rankItems(batch, this._estimator)) {
      if (engines.every(engine => engine.freeSlots <= 0)) return
      if (nowMs < state.notBeforeMs) continue
      this._reuseProgress(batch, state, route)
      if (state.progress.isComplete) {
        void this._finish(batch, state, 'completed')
        continue
      }
      const version = state.progress.versions.at(-1)
      const engine = chooseEngine(engines, {
        minVersion: batch.spec.minVersion,
        onlyVersion: route.isSingleVersion ? version : undefined,
        avoided: state.avoidedUpstreams,
        affine: this._enginesByGroup.get(state.item.group) ?? new Set()
      })
      if (engine === undefined) {
        this._restartIfStranded(route, state, engines)
        continue
      }
      engine.freeSlots -= 1
      engine.running += 1
      this._start(batch, state, engine.id)
    }
  }

  /** No engine has the one version that may go on with the text any more: it is generated anew. */
  private _restartIfStranded (route: Route, state: ItemState, engines: readonly EngineView[]): void {
    const version = state.progress.versions.at(-1)
    if (!route.isSingleVersion || version === undefined || engines.some(engine => engine.version <= version)) return
    this._logger.info({ item: state.item.id, version, events: state.progress.events.length }, 'item_restarted')
    state.restart()
  }

  private _reuseProgress (batch: Batch, state: ItemState, route: Route): void {
    if (state.progress.events.length > 0 || state.progress.isComplete) return
    const cached = this._progress.take(state.item.id, batch.spec.minVersion, route.isSingleVersion)
    if (cached === undefined) return
    state.progress = cached
    this._logger.info({ batch: batch.spec.id, item: state.item.id, events: cached.events.length, complete: cached.isComplete }, 'item_progress_reused')
  }

  private _views (service: string, model: string): EngineView[] {
    const home = this._homeEngines(service, model)
    return this._fleet.ofService(service)
      .filter(upstream => home === undefined || home.has(upstream.member.id))
      .map(upstream => ({
        id: upstream.member.id,
        version: upstream.versionOf(model),
        freeSlots: upstream.member.slots - Math.max(this.runningOn(upstream.member.id), upstream.outstanding),
        running: upstream.outstanding,
        paceMs: this._paceMs(upstream),
        isAvoided: upstream.isAvoided,
        isLoading: this.isLoading(upstream.member.id)
      }))
  }

  private _paceMs (upstream: FleetUpstream): number {
    return upstream.averageMs ?? DEFAULT_PACE_MS
  }

  private _start (batch: Batch, state: ItemState, engineId: string): void {
    const engine = this._fleet.find(engineId)
    if (engine === undefined) return
    const groupEngines = this._enginesByGroup.get(state.item.group) ?? new Set()
    this._enginesByGroup.set(state.item.group, groupEngines.add(engineId))
    state.status = 'running'
    const run = new ItemRun(batch, state, engine, this._transport, this._remainingMs(batch))
    this._runs.set(state, run)
    void run.result().then(end => this._onRunEnd(run, end))
  }

  private _remainingMs (batch: Batch): number {
    const route = this._routes.find(batch.spec.host, batch.spec.path)
    const limitMs = route?.batchRetentionMs ?? 0
    return Math.max(1, Math.round(batch.spec.submittedAtMs + limitMs - Date.now()))
  }

  private _onRunEnd (run: ItemRun, end: EngineRunEnd): void {
    const { batch, state, engine } = run
    this._runs.delete(state)
    this._metrics.count('batch_runs', { outcome: end.kind })
    if (state.status === 'running') state.status = 'waiting'
    if (end.kind !== 'complete' || run.durationMs > 3000) this._logRun(run, end)
    if (!batch.isOpen) {
      this._progress.put(state.item.id, state.progress)
      return
    }
    this._settle(run, end)
    if (engine.isAvoided) this._logger.info({ upstream: engine.member.id, failures: engine.failuresInRow }, 'upstream_avoided')
    this._dispatchSoon()
  }

  private _settle (run: ItemRun, end: EngineRunEnd): void {
    const { batch, state, engine } = run
    if (end.kind === 'complete') {
      if (run.paceMs !== undefined) engine.noteAnswer(run.paceMs)
      this._estimator.onCompleted(state.item.lengthHintTokens, state.progress.events.length)
      state.progress.isComplete = true
      void this._finish(batch, state, 'completed')
    } else if (end.kind === 'impossible') {
      void this._finish(batch, state, 'aborted')
    } else if (end.kind === 'failed') {
      this._onFailed(batch, state, engine)
    } else if (end.kind === 'not_run') {
      state.notBeforeMs = performance.now() + REFUSED_PAUSE_MS
      if (end.reason !== 'cancelled') state.avoidedUpstreams.add(engine.member.id)
      if (end.reason === 'connect_failed' || end.reason === 'wrong_upstream') engine.noteFailure()
    } else {
      state.notBeforeMs = performance.now() + BROKEN_PAUSE_MS
      state.avoidedUpstreams.add(engine.member.id)
      if (!run.isCancelled) engine.noteFailure()
    }
    if (state.avoidedUpstreams.size >= FIRST_RETRY_FAILURES) state.avoidedUpstreams.clear()
  }

  private _onFailed (batch: Batch, state: ItemState, engine: FleetUpstream): void {
    state.failures += 1
    state.avoidedUpstreams.add(engine.member.id)
    state.notBeforeMs = performance.now() + REFUSED_PAUSE_MS
    const route = this._routes.find(batch.spec.host, batch.spec.path)
    if (route !== undefined && state.failures >= route.maxAttempts) void this._finish(batch, state, 'aborted')
  }

  private async _finish (batch: Batch, state: ItemState, outcome: 'completed' | 'aborted'): Promise<void> {
    if (state.status === 'finished') return
    state.status = 'finished'
    const { events, versions } = state.progress
    const result = outcome === 'completed'
      ? { itemId: state.item.id, state: outcome, text: events.join('\n'), versions: [...versions] }
      : { itemId: state.item.id, state: outcome, text: '', versions: [] }
    if (outcome === 'aborted') this._logger.warn({ batch: batch.spec.id, item: state.item.id, failures: state.failures }, 'item_aborted')
    const added = await this._batches.addResult(batch, result)
    if (added.isErr()) this._logger.error({ batch: batch.spec.id, item: state.item.id, reason: added.error.message }, 'result_not_stored')
    this._metrics.count('batch_results', { state: outcome })
  }

  private _giveUp (batch: Batch): void {
    for (const state of batch.items) {
      if (state.status === 'finished') continue
      this._runs.get(state)?.cancel('given up')
      void this._finish(batch, state, 'aborted')
    }
  }

  private _onEnded (batch: Batch): void {
    for (const state of batch.items) {
      const run = this._runs.get(state)
      if (run !== undefined) run.cancel('batch ended')
      else if (state.status === 'waiting') this._progress.put(state.item.id, state.progress)
      this._enginesByGroup.delete(state.item.group)
    }
  }

  /** An engine that is gone from the list may serve what it runs to the end; one that restarted has lost it. */
  private _onGone (upstream: FleetUpstream): void {
    const successor = this._fleet.find(upstream.member.id)
    if (successor === undefined || successor === upstream) return
    for (const run of this._runs.values()) if (run.engine === upstream) run.cancel('engine restarted')
  }

  private _checkRun (run: ItemRun): void {
    const paceMs = this._paceMs(run.engine)
    const silentMs = run.silentMs()
    if (silentMs > Math.max(MIN_STALL_MS, STALL_PACES * paceMs) && !this.isLoading(run.engine.member.id)) {
      run.engine.noteFailure()
      run.cancel('silent')
      return
    }
    this._moveIfSlow(run)
  }

  /** Streams on an engine that has become slow go on where they end sooner. */
  private _moveIfSlow (run: ItemRun): void {
    if (run.durationMs < MIN_RUN_BEFORE_MOVE_MS || run.paceMs === undefined) return
    const route = this._routes.find(run.batch.spec.host, run.batch.spec.path)
    const service = route === undefined ? undefined : pickService(route, 0)
    if (route === undefined || service === undefined || route.isSingleVersion || !route.isResumable) return
    const remaining = this._estimator.remainingEvents(run.state)
    if (remaining * run.paceMs < MOVE_GAIN_MS) return
    const engines = this._views(service, run.batch.spec.model).filter(engine => engine.id !== run.engine.member.id)
    const target = chooseEngine(engines, { minVersion: run.batch.spec.minVersion, avoided: new Set(), affine: new Set() })
    if (target === undefined || run.paceMs < MOVE_PACE_RATIO * target.paceMs || remaining * (run.paceMs - target.paceMs) < MOVE_GAIN_MS) return
    run.engine.noteAnswer(run.paceMs)
    run.cancel('slow')
  }

  private _logRun (run: ItemRun, end: EngineRunEnd): void {
    this._logger.info({
      batch: run.batch.spec.id,
      item: run.state.item.id,
      upstream: run.engine.member.id,
      outcome: end.kind,
      reason: 'reason' in end ? end.reason : undefined,
      cancelled: run.cancelReason,
      events: run.state.progress.events.length,
      pace_ms: Math.round(run.paceMs ?? 0),
      duration_ms: Math.round(run.durationMs)
    }, 'item_run_ended')
  }
}

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { planVersionLoads } from '../../../version/planVersionLoads.js'
import { countWaitingItems } from '../../policy/countWaitingItems.js'
import { LengthEstimator } from '../../policy/LengthEstimator.js'
import { shouldMove } from '../../policy/shouldMove.js'
import type { ItemProgress } from '../../record/ItemProgress.js'
import type { ItemState } from '../../record/ItemState.js'
import type { EngineView } from '../../run/EngineView.js'
import type { ClusterScenario } from './ClusterScenario.js'
import type { IClusterPolicy, ModelStep } from './IClusterPolicy.js'
import { ModelEngine } from './ModelEngine.js'
import { ModelTrainer } from './ModelTrainer.js'

const TICK_MS = 20
const CHECK_MS = 100
const LOAD_MS = 900
const CONCURRENT_LOAD_SHARE = 0.3
const DEMAND_WEIGHT = 0.4
const MIN_RUN_BEFORE_MOVE_MS = 500
/** Mean time between two faults of one engine. */
const FAULT_INTERVAL_MS = 60_000
const FAULT_MS = 4000
const DEFAULT_INTERVAL_MS = 45
const TOKENS_PER_EVENT = 60

/** What the callers of the model got. */
interface ClusterReport {
  trainers: Record<string, { inTime: number, late: number }>
  runsPerItem: number
  /** Longest time that an item waited while under half of the slots were in use. */
  maxIdleWaitMs: number
}

/** Deterministic model of engines and trainers that runs the policy functions in simulated time. */
export class ClusterModel {
  private readonly _random
  private readonly _engines: ModelEngine[]
  private readonly _trainers: ModelTrainer[]
  private readonly _estimator = new LengthEstimator()
  private readonly _eventsByItem = new Map<string, number>()
  private readonly _progressByItem = new Map<string, ItemProgress>()
  private readonly _demand = new Map<string, number>()
  private readonly _announced = new Map<string, { version: number, atMs: number }>()
  private readonly _idleWaitMs = new Map<string, number>()
  private _assignments = new Map<string, string>()
  private _nowMs = 0
  private _starts = 0
  private _maxIdleWaitMs = 0

  constructor (private readonly _scenario: ClusterScenario, private readonly _policy: IClusterPolicy) {
    this._random = xoroshiro128plus(_scenario.seed * 7919)
    this._engines = _scenario.speeds.map((speed, index) => new ModelEngine(`e${String(index).padStart(2, '0')}`, speed, _scenario.slotsPerEngine))
    this._trainers = _scenario.trainers.map((load, index) => new ModelTrainer(load, xoroshiro128plus(_scenario.seed * 7919 + index + 1)))
    for (const engine of this._engines) for (const { model } of _scenario.trainers) engine.versions.set(model, 1)
  }

  run (): ClusterReport {
    for (; this._nowMs < this._scenario.durationMs; this._nowMs += TICK_MS) {
      if (this._scenario.hasFaults) this._injectFaults()
      for (const engine of this._engines) this._advance(engine)
      this._runTrainers()
      if (this._nowMs % CHECK_MS === 0) {
        this._loadVersions()
        this._moveRuns()
        this._measureIdleWait()
      }
      this._dispatch()
    }
    const trainers = Object.fromEntries(this._trainers.map(trainer => [trainer.load.name, trainer.shares(this._scenario.durationMs)]))
    return { trainers, runsPerItem: this._starts / this._eventsByItem.size, maxIdleWaitMs: this._maxIdleWaitMs }
  }

  private _injectFaults (): void {
    for (const engine of this._engines) {
      if (uniformFloat64(this._random) >= TICK_MS / FAULT_INTERVAL_MS) continue
      const kind = uniformFloat64(this._random)
      if (kind < 0.7) engine.slowUntilMs = this._nowMs + FAULT_MS
      else engine.downUntilMs = this._nowMs + FAULT_MS
    }
  }

  private _advance (engine: ModelEngine): void {
    if (!engine.isUp(this._nowMs)) {
      for (const run of [...engine.runs]) engine.stop(run)
      engine.load = undefined
      return
    }
    if (engine.load !== undefined && this._nowMs >= engine.load.endsAtMs) {
      engine.versions.set(engine.load.model, engine.load.version)
      engine.load = undefined
    }
    for (const run of engine.advance(this._nowMs, TICK_MS)) {
      engine.stop(run)
      run.state.status = 'finished'
      run.step.batch.positionsAllocated += 1
      this._estimator.recordCompletion(run.state.item.lengthHintTokens, run.totalEvents)
    }
  }

  private _runTrainers (): void {
    for (const trainer of this._trainers) {
      const ended = trainer.read(this._nowMs)
      if (ended !== undefined) this._end(ended)
      const submitted = trainer.submitIfDue(this._nowMs, this._eventsByItem)
      const { model } = trainer.load
      if ((this._announced.get(model)?.version ?? 0) < trainer.announcedVersion) this._announced.set(model, { version: trainer.announcedVersion, atMs: this._nowMs })
      if (submitted === undefined) continue
      for (const state of submitted.batch.items) {
        const progress = this._progressByItem.get(state.item.id)
        if (progress?.versions.every(version => version >= submitted.batch.spec.minVersion) === true) state.resumeFrom(progress)
      }
      const demand = this._policy.demand(submitted.batch, this._estimator)
      const known = this._demand.get(model) ?? demand
      this._demand.set(model, known + DEMAND_WEIGHT * (demand - known))
    }
  }

  private _end ({ batch }: ModelStep): void {
    for (const engine of this._engines) for (const run of engine.runs.filter(({ step }) => step.batch === batch)) engine.stop(run)
    for (const state of batch.items) if (state.status !== 'finished') this._progressByItem.set(state.item.id, state.progress)
    for (const state of batch.items) this._idleWaitMs.delete(state.item.id)
    batch.end(batch.incompleteGroups())
  }

  private _openSteps (): ModelStep[] {
    return this._trainers.flatMap(({ step }) => step ?? [])
  }

  private _loadVersions (): void {
    const up = this._engines.filter(engine => engine.isUp(this._nowMs))
    const models = [...new Set(this._scenario.trainers.map(({ model }) => model))]
    const openEvents = (model: string): number => this._openSteps().filter(({ batch }) => batch.spec.model === model)
      .reduce((sum, { batch }) => sum + batch.items.reduce((events, state) => events + this._estimator.remainingEvents(state), 0), 0)
    const demands = models.map(model => ({ model, demand: this._policy.combineDemand(this._demand.get(model) ?? 1, openEvents(model)) }))
    const capacities = up.map(engine => ({ id: engine.id, capacity: engine.slots / (engine.averageMs ?? DEFAULT_INTERVAL_MS) }))
    this._assignments = this._policy.assignEngines(capacities, demands, this._assignments)
    let freeLoadSlots = Math.max(2, Math.floor(up.length * CONCURRENT_LOAD_SHARE)) - up.filter(({ load }) => load !== undefined).length
    for (const [model, announced] of this._announced) {
      const engines = up.filter(({ id }) => models.length === 1 || this._assignments.get(id) === model).map(engine => ({
        id: engine.id,
        version: engine.versions.get(model) ?? 0,
        running: engine.runs.filter(({ step }) => step.batch.spec.model === model).length,
        runningSingleVersion: 0,
        eventIntervalMs: engine.averageMs ?? 0,
        isLoading: engine.load !== undefined
      }))
      const { count, minVersion } = countWaitingItems(this._openSteps().map(({ batch }) => batch), model)
      const ids = planVersionLoads({ engines, newestVersion: announced.version, announcedForMs: this._nowMs - announced.atMs, waitingItemCount: count, minVersion, freeLoadSlots })
      freeLoadSlots -= ids.length
      for (const engine of up.filter(({ id }) => ids.includes(id))) engine.load = { model, version: announced.version, endsAtMs: this._nowMs + LOAD_MS }
    }
  }

  private _views (model: string): EngineView[] {
    const up = this._engines.filter(engine => engine.isUp(this._nowMs))
    const measured = up.flatMap(({ averageMs }) => averageMs ?? [])
    const meanMs = measured.length === 0 ? DEFAULT_INTERVAL_MS : measured.reduce((sum, ms) => sum + ms, 0) / measured.length
    return up.map(engine => engine.view(model, meanMs, engine.runs.reduce((sum, { state }) => sum + this._kvTokens(state), 0)))
  }

  private _kvTokens (state: ItemState): number {
    return state.item.promptTokens + TOKENS_PER_EVENT * (state.progress.events.length + this._estimator.remainingEvents(state))
  }

  private _dispatch (): void {
    const viewsByModel = new Map<string, EngineView[]>()
    const steps = this._openSteps().filter(({ batch }) => batch.isOpen)
    for (const step of steps) {
      const { model } = step.batch.spec
      step.engines = viewsByModel.get(model) ?? this._views(model)
      viewsByModel.set(model, step.engines)
    }
    for (const { step, state } of this._policy.order(steps, this._estimator, this._nowMs)) {
      const kvTokens = this._kvTokens(state)
      const withCachedPrefix = new Set(this._engines.filter(({ cachedGroups }) => cachedGroups.has(state.item.group)).map(({ id }) => id))
      const target = this._policy.chooseEngine(step.engines, { minVersion: step.batch.spec.minVersion, kvTokens, deprioritised: new Set(), withCachedPrefix })
      if (target === undefined) continue
      // The views of all models describe the same slots.
      for (const view of [...viewsByModel.values()].flatMap(views => views.filter(({ id }) => id === target.id))) {
        view.freeSlots -= 1
        view.running += 1
        view.kvFreeTokens -= kvTokens
      }
      this._starts += 1
      this._idleWaitMs.delete(state.item.id)
      this._engines.find(({ id }) => id === target.id)?.start(step, state, this._eventsByItem.get(state.item.id) ?? 1, this._nowMs)
    }
  }

  private _moveRuns (): void {
    const reserved = new Map<string, number>()
    for (const engine of this._engines) {
      for (const run of [...engine.runs]) {
        if (engine.averageMs === undefined || this._nowMs - run.startedAtMs < MIN_RUN_BEFORE_MOVE_MS) continue
        const { minVersion, model } = run.step.batch.spec
        const expectedPauseMs = engine.load?.model === model ? engine.load.endsAtMs - this._nowMs : 0
        if (expectedPauseMs === 0 && this._nowMs >= engine.slowUntilMs && engine.averageMs < DEFAULT_INTERVAL_MS) continue
        const kvTokens = this._kvTokens(run.state)
        const others = this._views(model).filter(view => view.id !== engine.id && view.freeSlots > (reserved.get(view.id) ?? 0) && view.kvFreeTokens >= kvTokens)
        const target = this._policy.chooseEngine(others, { minVersion, kvTokens, deprioritised: new Set(), withCachedPrefix: new Set() })
        const remainingEvents = this._estimator.remainingEvents(run.state)
        if (target === undefined || !shouldMove({ eventIntervalMs: engine.averageMs, targetEventIntervalMs: target.eventIntervalMs, remainingEvents, expectedPauseMs })) continue
        reserved.set(target.id, (reserved.get(target.id) ?? 0) + 1)
        engine.stop(run)
      }
    }
  }

  private _measureIdleWait (): void {
    const slots = this._engines.filter(engine => engine.isUp(this._nowMs)).length * this._scenario.slotsPerEngine
    const running = this._engines.reduce((sum, { runs }) => sum + runs.length, 0)
    if (running * 2 >= slots) return
    for (const state of this._openSteps().flatMap(({ batch }) => batch.items.filter(({ status }) => status === 'waiting'))) {
      const waitedMs = (this._idleWaitMs.get(state.item.id) ?? 0) + CHECK_MS
      this._idleWaitMs.set(state.item.id, waitedMs)
      this._maxIdleWaitMs = Math.max(this._maxIdleWaitMs, waitedMs)
    }
  }
}

import { Disposable } from '../../kernel/Disposable.js'
import type { IDisposable } from '../../kernel/IDisposable.js'
import { toDisposable } from '../../kernel/toDisposable.js'
import type { FleetUpstream } from '../../fleet/FleetUpstream.js'
import type { IFleet } from '../../fleet/IFleet.js'
import type { ILogger } from '../../metrics/ILogger.js'
import type { IMetrics } from '../../metrics/IMetrics.js'
import type { IRouteTable } from '../../routing/IRouteTable.js'
import { chooseService } from '../../routing/chooseService.js'
import type { Route } from '../../routing/Route.js'
import type { Batch } from '../Batch.js'
import { chooseEngine } from '../policy/chooseEngine.js'
import { applyHandoffProgress } from '../applyHandoffProgress.js'
import { collectHandoffProgress } from '../collectHandoffProgress.js'
import { countWaitingItems } from '../policy/countWaitingItems.js'
import { BatchStatusReporter } from '../BatchStatusReporter.js'
import { StepReporter } from '../StepReporter.js'
import { deferItem } from './deferItem.js'
import { describeRun } from './describeRun.js'
import type { EngineTracker } from './EngineTracker.js'
import type { EngineRunOutcome } from './EngineRunOutcome.js'
import type { EngineView } from './EngineView.js'
import type { IBatchStore } from '../IBatchStore.js'
import type { IBatchWorkload } from './IBatchWorkload.js'
import type { IEngineTransport } from './IEngineTransport.js'
import { EngineLinks } from '../link/EngineLinks.js'
import { SendGate } from '../link/SendGate.js'
import { ItemPreparer } from './ItemPreparer.js'
import { ItemRun } from './ItemRun.js'
import type { ItemState } from '../record/ItemState.js'
import type { IRewardClient } from '../reward/IRewardClient.js'
import { RewardRunner } from '../reward/RewardRunner.js'
import type { HandoffProgress } from '../record/HandoffProgress.js'
import { hasMixedVersions } from '../policy/hasMixedVersions.js'
import { hasNoCompatibleEngine } from '../policy/hasNoCompatibleEngine.js'
import { LengthEstimator } from '../policy/LengthEstimator.js'
import { ProgressSaver } from './ProgressSaver.js'
import { orderItems } from '../policy/orderItems.js'
import { reserveSlot } from '../policy/reserveSlot.js'
import type { StepView } from '../policy/StepView.js'
import { ResultWriter } from './ResultWriter.js'
import { RunSupervisor } from './RunSupervisor.js'
import { RunTable } from './RunTable.js'
import { UnroutedBatches } from './UnroutedBatches.js'

const TICK_MS = 100
/** Longer runs are logged when they complete; shorter ones are only counted. */
const LONG_RUN_MS = 3000

/** An open step with the engines that may run its items. */
interface DispatchedStep extends StepView { route: Route, service: string, engines: EngineView[] }

/** Dispatches the items of all open batches to engines and stores their output as results. */
export class BatchRunner extends Disposable implements IBatchWorkload {
  private readonly _runs = new RunTable()
  private readonly _estimator = new LengthEstimator()
  private readonly _links = new EngineLinks()
  private readonly _sendGate: SendGate
  private readonly _preparer: ItemPreparer
  private readonly _supervisor: RunSupervisor
  private readonly _saver: ProgressSaver
  private readonly _statusReporter: BatchStatusReporter
  private readonly _stepReporter: StepReporter
  private readonly _results: ResultWriter
  private readonly _rewards: RewardRunner
  private readonly _unrouted: UnroutedBatches
  /** Engines that ran an item of a group, and so have its prompt prefix in their cache; by group. */
  private readonly _enginesByGroup = new Map<string, Set<string>>()
  private _isDispatchScheduled = false
  private _isStopped = false

  constructor (
    private readonly _batches: IBatchStore,
    private readonly _fleet: IFleet,
    private readonly _routes: IRouteTable,
    private readonly _transport: IEngineTransport,
    rewardClient: IRewardClient,
    private readonly _tracker: EngineTracker,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    this._preparer = new ItemPreparer(_logger)
    this._sendGate = new SendGate(this._links, _metrics)
    this._supervisor = new RunSupervisor(_tracker, this._estimator, this._links, _logger)
    this._saver = new ProgressSaver(_batches, _logger)
    this._statusReporter = new BatchStatusReporter(_batches, _fleet, _tracker, _logger, _metrics)
    this._stepReporter = new StepReporter(this._estimator, _logger, _metrics)
    this._results = new ResultWriter(_batches, _logger, _metrics)
    this._unrouted = new UnroutedBatches(this._results, _routes)
    this._rewards = this._register(new RewardRunner(rewardClient, _fleet, (batch, state, score) => this._results.finishScored(batch, state, score), _logger, _metrics))
    this._register(this._batches.onChanged(() => this._scheduleDispatch()))
    this._register(this._batches.onEnded(batch => this._onBatchEnded(batch)))
    this._register(this._fleet.onChanged(() => this._scheduleDispatch()))
    this._register(this._fleet.onRemoved(upstream => this._onUpstreamRemoved(upstream)))
    this._register(this._links.onSendEnded(() => { if (this._sendGate.hasHeld) this._scheduleDispatch() }))
    const timer = setInterval(() => this._tick(), TICK_MS)
    this._register(toDisposable(() => {
      clearInterval(timer)
      this._stopRuns('stopped')
    }))
    this._scheduleDispatch()
  }

  /** Disposes `disposable` together with this runner. */
  addDisposable (disposable: IDisposable): void { this._register(disposable) }

  countRunsOn (engineId: string, model?: string): number {
    return this._runs.countOn(engineId, model)
  }

  countSingleVersionRunsOn (engineId: string, model: string): number {
    return this._runs.countSingleVersionOn(engineId, model)
  }

  countWaitingItems (model: string): { count: number, minVersion: number | undefined } {
    return countWaitingItems(this._batches.all(), model)
  }

  setLoading (engineId: string, model: string, timeoutMs: number, expectedMs: number): void {
    this._tracker.setLoading(engineId, model, timeoutMs, expectedMs)
    this._scheduleDispatch()
  }

  /** Cancels all runs and reward calls and saves the output of their items; returns the number of items. */
  async handOff (): Promise<number> {
    const items = [...this._runs.all().map(run => ({ batch: run.batch, state: run.state })), ...this._rewards.items()]
    this._stopRuns('handed over')
    this._rewards.cancelAll()
    await this._saver.save(items)
    return items.length
  }

  /** Output of the items whose results are not durable. */
  handoffProgress (): HandoffProgress {
    return collectHandoffProgress(this._batches.all())
  }

  /** Resumes items from progress that the previous leader handed off; returns the number of items that it extends. */
  acceptHandoff (progress: HandoffProgress): number {
    const items = applyHandoffProgress(this._batches, progress, state => this._runs.of(state)?.cancel('further progress received'))
    this._scheduleDispatch()
    return items.length
  }

  private _stopRuns (reason: string): void {
    this._isStopped = true
    this._runs.cancelAll(reason)
  }

  private _tick (): void {
    this._supervisor.check(this._runs.byState)
    this._saver.saveIfDue(this._runs.all(), this._rewards.items())
    this._rewards.startDue()
    this._sendGate.reportIfDue()
    this._scheduleDispatch()
    this._statusReporter.logIfDue(this._runs.size, this._rewards.size, engineId => this.countRunsOn(engineId))
  }

  private _scheduleDispatch (): void {
    if (this._isDispatchScheduled || this._isStopped) return
    this._isDispatchScheduled = true
    setImmediate(() => {
      this._isDispatchScheduled = false
      if (!this._isStopped) this._dispatch()
    })
  }

  private _dispatch (): void {
    const viewsByKey = new Map<string, EngineView[]>()
    const steps: DispatchedStep[] = []
    for (const batch of this._batches.all()) {
      if (!batch.isOpen) continue
      const route = this._routes.find(batch.spec.host, batch.spec.path)
      const service = route === undefined ? undefined : chooseService(route, 0)
      if (route === undefined || service === undefined || route.kind !== 'batch') {
        this._unrouted.check(batch)
        continue
      }
      this._unrouted.clear(batch)
      const { submittedAtMs, model, priority } = batch.spec
      if (batch.retentionLeftMs(route.batchRetentionMs, Date.now()) <= 0) {
        this._abandonBatch(batch)
        continue
      }
      const key = `${service} ${model}`
      const engines = viewsByKey.get(key) ?? this._tracker.views(service, model, this._runs.all(), this._estimator)
      viewsByKey.set(key, engines)
      steps.push({ batch, route, service, engines, priority: priority ?? route.priority, deadlineAtMs: submittedAtMs + route.batchDeadlineMs })
    }
    this._stepReporter.reportIfDue(steps, Date.now())
    this._sendGate.beginDispatch()
    for (const { step, state } of orderItems(steps, this._estimator, Date.now())) this._dispatchItem(step, state, viewsByKey)
  }

  private _dispatchItem ({ batch, route, service, engines }: DispatchedStep, state: ItemState, viewsByKey: ReadonlyMap<string, EngineView[]>): void {
    if (performance.now() < state.notBeforeMs || state.status !== 'waiting') return
    this._preparer.prepare(batch, state, route)
    if (state.progress.isComplete) return this._completeItem(batch, state, route)
    const kvTokens = this._tracker.estimateKvTokens(service, state, this._estimator)
    const engine = chooseEngine(this._links.reachable(engines, state.bodyBytes), {
      kvTokens,
      minVersion: batch.spec.minVersion,
      requiredVersion: route.isSingleVersion ? state.progress.versions.at(-1) : undefined,
      deprioritised: state.deprioritisedUpstreams,
      withCachedPrefix: this._enginesByGroup.get(state.item.group) ?? new Set()
    })
    if (engine !== undefined) {
      if (this._sendGate.holds(state.bodyBytes)) return
      reserveSlot(viewsByKey.values(), engine.id, kvTokens)
      this._startRun(batch, state, route, service, engine.id)
    } else if (route.isSingleVersion && hasNoCompatibleEngine(state, engines)) this._preparer.restart(state)
  }

  private _startRun (batch: Batch, state: ItemState, route: Route, service: string, engineId: string): void {
    const engine = this._fleet.find(engineId)
    if (engine === undefined) return
    const groupEngines = this._enginesByGroup.get(state.item.group) ?? new Set()
    this._enginesByGroup.set(state.item.group, groupEngines.add(engineId))
    state.status = 'running'
    const remainingMs = Math.max(1, Math.round(batch.retentionLeftMs(route.batchRetentionMs, Date.now())))
    const run = new ItemRun({ batch, state, engine, route, service, remainingMs, outputBudget: this._runs.outputBudget, send: this._links.start(engineId, state.bodyBytes) }, this._transport)
    this._runs.add(run)
    run.execute()
      .then(outcome => this._onRunEnded(run, outcome))
      .catch((fault: unknown) => this._logger.error({ item: state.item.id, reason: String(fault) }, 'item_run_fault'))
  }

  private _onRunEnded (run: ItemRun, outcome: EngineRunOutcome): void {
    const { batch, state } = run
    this._metrics.count('batch_runs', { outcome: outcome.kind, cancelled: run.cancelReason ?? '', waiting: run.waitsFor })
    this._runs.remove(run)
    if (state.status === 'running') state.status = 'waiting'
    if ((outcome.kind !== 'complete' && run.cancelReason !== 'slow') || run.durationMs > LONG_RUN_MS) this._logger.info(describeRun(run, outcome, () => ({ unansweredBytes: this._runs.unansweredBytes(), linkBytesPerMs: this._links.bytesPerMs })), 'item_run_ended')
    if (!batch.isOpen) return this._preparer.keep(batch, state)
    this._applyOutcome(run, outcome)
    this._scheduleDispatch()
  }

  private _applyOutcome (run: ItemRun, outcome: EngineRunOutcome): void {
    const { batch, state, engine } = run
    if (outcome.kind === 'complete') {
      engine.recordSuccess()
      this._estimator.recordCompletion(state.item.lengthHintTokens, state.progress.events.length)
      state.progress.isComplete = true
      this._completeItem(batch, state, run.route)
      return
    }
    if (outcome.kind === 'impossible') return this._results.abort(batch, state, 'impossible')
    deferItem(run, outcome)
    if (outcome.kind === 'not_run' && outcome.reason === 'cancelled') return
    if (outcome.kind === 'failed') this._onRunFailed(run)
    else if (!run.isCancelled && !(outcome.kind === 'not_run' && outcome.reason === 'full')) engine.recordFailure()
  }

  private _onRunFailed ({ batch, state, route }: ItemRun): void {
    state.failures += 1
    if (state.failures >= route.maxAttempts) this._results.abort(batch, state, 'runs failed')
  }

  private _completeItem (batch: Batch, state: ItemState, route: Route): void {
    if (hasMixedVersions(state, route)) return this._preparer.restart(state)
    const { rewardCall } = state.item
    if (rewardCall === undefined) return this._results.complete(batch, state)
    state.status = 'scoring'
    const remainingMs = batch.retentionLeftMs(route.batchRetentionMs, Date.now())
    this._rewards.add(batch, state, rewardCall, route.maxAttempts, performance.now() + remainingMs)
  }

  private _abandonBatch (batch: Batch): void {
    this._rewards.cancel(batch)
    for (const state of batch.items) {
      this._runs.of(state)?.cancel('given up')
      this._results.abort(batch, state, 'retention of the route ended')
    }
  }

  private _onBatchEnded (batch: Batch): void {
    this._rewards.cancel(batch)
    for (const state of batch.items) {
      const run = this._runs.of(state)
      if (run !== undefined) run.cancel('batch ended')
      else if (state.status !== 'finished') this._preparer.keep(batch, state)
      this._enginesByGroup.delete(state.item.group)
    }
  }

  /** An engine that left the list may still complete its runs; one that restarted has lost them. */
  private _onUpstreamRemoved (upstream: FleetUpstream): void {
    this._links.remove(upstream.member.id)
    const successor = this._fleet.find(upstream.member.id)
    if (successor === undefined || successor === upstream) return
    for (const run of this._runs.all()) if (run.engine === upstream) run.cancel('engine restarted')
  }
}

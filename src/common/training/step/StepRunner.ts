import type { IContractStore } from '../../contract/IContractStore.js'
import { contractStoreId } from '../../contract/contractStoreId.js'
import { generatorId } from '../../generation/generatorId.js'
import type { IGenerator } from '../../generation/IGenerator.js'
import { Disposable } from '../../kernel/Disposable.js'
import { toDisposable } from '../../kernel/toDisposable.js'
import type { ILogHub } from '../../log/ILogHub.js'
import { logHubId } from '../../log/logHubId.js'
import type { ILogger } from '../../metrics/ILogger.js'
import type { IMetrics } from '../../metrics/IMetrics.js'
import { loggerId } from '../../metrics/loggerId.js'
import { metricsId } from '../../metrics/metricsId.js'
import type { Contract } from '../../schema/Contract.js'
import type { ISampleOwnership } from '../sample/ISampleOwnership.js'
import type { ISampleScorer } from '../sample/ISampleScorer.js'
import type { IStepRunner } from './IStepRunner.js'
import type { IStepTable } from './IStepTable.js'
import { SampleRun } from '../sample/SampleRun.js'
import type { SampleRunOutcome } from '../sample/SampleRunOutcome.js'
import type { SampleTask } from '../sample/SampleTask.js'
import { listOpenTasks } from './listOpenTasks.js'
import { sampleOwnershipId } from '../sample/sampleOwnershipId.js'
import { sampleScorerId } from '../sample/sampleScorerId.js'
import { stepTableId } from './stepTableId.js'

// Bounds the time until a retry starts and an owner's failure is noticed without an event.
const CHECK_MS = 500
// Collects the records of one read of the log into one pass over the open samples.
const COALESCE_MS = 20
// Longer than the 10 s after which a request with three shared crashes may run once more (SuspectTable).
const BLOCK_CONFIRM_MS = 12_000
const RETRY_BASE_MS = 250
const RETRY_MAX_MS = 30_000
// Engines load new weights within seconds, so that a stale sample need not wait long.
const STALE_RETRY_MAX_MS = 2000

/** Runs the samples that this entry owns by rendezvous hash. */
export class StepRunner extends Disposable implements IStepRunner {
  private readonly _runs = new Map<string, SampleRun>()
  /** Recorded samples that this entry has not read back yet. */
  private readonly _recorded = new Map<string, SampleTask>()
  private readonly _retries = new Map<string, { task: SampleTask, failures: number, dueAtMs: number }>()
  /** `performance.now()` of the first refusal of samples whose prompt is blocked. */
  private readonly _blockedAtMs = new Map<string, number>()
  private _pass?: ReturnType<typeof setTimeout>
  private _isDisposed = false

  constructor (
    @stepTableId private readonly _table: IStepTable,
    @generatorId private readonly _generator: IGenerator,
    @sampleScorerId private readonly _scorer: ISampleScorer,
    @sampleOwnershipId private readonly _owners: ISampleOwnership,
    @logHubId private readonly _hub: ILogHub,
    @contractStoreId private readonly _contracts: IContractStore,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    this._register(toDisposable(() => {
      this._isDisposed = true
      clearTimeout(this._pass)
      for (const run of this._runs.values()) run.abort()
    }))
  }

  get inProgressCount (): number {
    return this._runs.size + this._recorded.size
  }

  start (): void {
    this._register(this._table.onChange(() => this._checkSoon()))
    this._register(this._contracts.onChange(() => this._checkSoon()))
    this._register(this._owners.onChange(() => this._checkSoon()))
    const timer = setInterval(() => this._check(), CHECK_MS)
    this._register(toDisposable(() => clearInterval(timer)))
    this._checkSoon()
  }

  private _checkSoon (): void {
    if (this._isDisposed) return
    this._pass ??= setTimeout(() => this._check(), COALESCE_MS)
  }

  private _check (): void {
    clearTimeout(this._pass)
    this._pass = undefined
    this._dropSettled()
    for (const run of this._runs.values()) {
      if (run.isStale || !this._isOpen(run.task)) run.abort()
    }
    if (!this._hub.status('steps').isCaughtUp) return
    for (const { contract } of this._contracts.all()) {
      for (const trainer of Object.keys(contract.trainer)) {
        this._startOpen(contract, trainer)
      }
    }
    this._metrics.gauge('training_samples_running', this._runs.size)
  }

  private _startOpen (contract: Contract, trainer: string): void {
    const { organisation } = contract.contract
    const state = this._table.get(organisation, trainer)
    const terms = contract.trainer[trainer]
    if (state === undefined || terms === undefined) return
    const bound = Math.max(1, Math.floor(contract.limits.max_in_flight / Object.keys(contract.trainer).length))
    let running = [...this._runs.values()].filter(({ task }) => task.organisation === organisation && task.trainer === trainer).length
    for (const task of listOpenTasks(state, terms)) {
      if (running >= bound) return
      const key = keyOf(task)
      const isTaken = this._runs.has(key) || this._recorded.has(key)
      if (isTaken || (this._retries.get(key)?.dueAtMs ?? 0) > performance.now() || !this._owners.isOwned(task)) continue
      running++
      this._start(key, task)
    }
  }

  private _start (key: string, task: SampleTask): void {
    const newest = (): number => this._table.get(task.organisation, task.trainer)?.version ?? 0
    const run = new SampleRun(task, this._generator, this._scorer, newest)
    this._runs.set(key, run)
    run.run().catch((fault: unknown): SampleRunOutcome => ({ kind: 'failed', reason: String(fault) })).then((end) => {
      this._runs.delete(key)
      if (this._isDisposed) return
      this._finish(key, task, end)
      this._checkSoon()
    })
  }

  private _finish (key: string, task: SampleTask, end: SampleRunOutcome): void {
    this._metrics.count('training_sample_runs', { end: end.kind })
    if (end.kind === 'aborted' || !this._isOpen(task)) return
    const { organisation, trainer, step, spec: { group }, index } = task
    if (end.kind === 'done' && this._mayBeUnblocked(key, end)) {
      this._retries.set(key, { task, failures: 0, dueAtMs: performance.now() + BLOCK_CONFIRM_MS })
      return
    }
    if (end.kind === 'done') {
      const { failure } = end.sample
      if (failure !== undefined) this._logger.warn({ organisation, trainer, step, group, index, failure }, 'sample_without_tokens')
      this._recorded.set(key, task)
      // The hub keeps the record while the log is out.
      const record = { type: 'sample', id: crypto.randomUUID(), organisation, trainer, step, group, sample: end.sample }
      this._hub.appendEventually('steps', record)
      return
    }
    const failures = (this._retries.get(key)?.failures ?? 0) + 1
    const maxMs = end.kind === 'stale' ? STALE_RETRY_MAX_MS : RETRY_MAX_MS
    const pauseMs = Math.min(maxMs, RETRY_BASE_MS * 2 ** (failures - 1)) * (0.5 + Math.random() / 2)
    this._retries.set(key, { task, failures, dueAtMs: performance.now() + pauseMs })
    const reason = end.kind === 'stale' ? 'stale' : end.reason
    this._logger.warn({ organisation, trainer, step, group, index, failures, reason }, 'sample_run_failed')
  }

  /** True at the first refusal: the records of other entries or a further run may still clear the request. */
  private _mayBeUnblocked (key: string, end: Extract<SampleRunOutcome, { kind: 'done' }>): boolean {
    if (end.sample.failure !== 'request_blocked') return false
    const sinceMs = this._blockedAtMs.get(key)
    if (sinceMs === undefined) this._blockedAtMs.set(key, performance.now())
    return sinceMs === undefined
  }

  /** False when the sample was recorded or reopened as a new attempt, or the group was acknowledged. */
  private _isOpen (task: SampleTask): boolean {
    if (!this._table.isComplete(task.organisation, task.trainer)) return true
    const group = this._table.get(task.organisation, task.trainer)?.group(task.step, task.spec.group)
    return group !== undefined && group.attempts[task.index] === task.attempt && group.samples[task.index] === undefined
  }

  private _dropSettled (): void {
    for (const [key, task] of this._recorded) {
      if (!this._isOpen(task)) this._recorded.delete(key)
    }
    for (const [key, { task }] of this._retries) {
      if (this._isOpen(task)) continue
      this._retries.delete(key)
      this._blockedAtMs.delete(key)
    }
  }
}

function keyOf (task: SampleTask): string {
  return `${task.organisation}/${task.trainer}/${task.step}/${task.spec.group}/${task.index}/${task.attempt}`
}

import type { IContractStore } from '../../contract/IContractStore.js'
import { contractStoreId } from '../../contract/contractStoreId.js'
import { generatorId } from '../../generation/generatorId.js'
import type { IGenerator } from '../../generation/IGenerator.js'
import { Disposable } from '../../kernel/Disposable.js'
import { startInterval } from '../../kernel/startInterval.js'
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

// Bounds the delay of due retries, and of taking over samples of a failed entry when no event triggers a check.
const CHECK_INTERVAL_MS = 500
// Coalesces the records of one log read into one check of the open samples.
const COALESCE_MS = 20
// Longer than the 10 s after which a request with three shared crashes may run once more (see SuspectTable).
const BLOCK_CONFIRMATION_MS = 12_000
const RETRY_BASE_MS = 250
const RETRY_MAX_MS = 30_000
// Engines load new weights within seconds, so a stale sample can be retried early.
const STALE_RETRY_MAX_MS = 2000

/** Generates, scores and records the samples that this entry owns, and retries failed ones with back-off. */
export class StepRunner extends Disposable implements IStepRunner {
  private readonly _runs = new Map<string, SampleRun>()
  /** Samples whose records this entry has queued for the log but has not read back. */
  private readonly _awaitingReadBack = new Map<string, SampleTask>()
  private readonly _retries = new Map<string, { task: SampleTask, failures: number, dueAtMs: number }>()
  /** `performance.now()` of the first `request_blocked` error by sample. */
  private readonly _firstBlockedAtMs = new Map<string, number>()
  private _scheduledCheck?: ReturnType<typeof setTimeout>
  private _isDisposed = false

  constructor (
    @stepTableId private readonly _table: IStepTable,
    @generatorId private readonly _generator: IGenerator,
    @sampleScorerId private readonly _scorer: ISampleScorer,
    @sampleOwnershipId private readonly _ownership: ISampleOwnership,
    @logHubId private readonly _hub: ILogHub,
    @contractStoreId private readonly _contracts: IContractStore,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    this._register(toDisposable(() => {
      this._isDisposed = true
      clearTimeout(this._scheduledCheck)
      for (const run of this._runs.values()) run.abort()
    }))
  }

  get inProgressCount (): number {
    return this._runs.size + this._awaitingReadBack.size
  }

  start (): void {
    this._register(this._table.onChange(() => this._scheduleCheck()))
    this._register(this._contracts.onChange(() => this._scheduleCheck()))
    this._register(this._ownership.onChange(() => this._scheduleCheck()))
    this._register(startInterval(() => this._check(), CHECK_INTERVAL_MS))
    this._scheduleCheck()
  }

  private _scheduleCheck (): void {
    if (this._isDisposed) return
    this._scheduledCheck ??= setTimeout(() => this._check(), COALESCE_MS)
  }

  private _check (): void {
    clearTimeout(this._scheduledCheck)
    this._scheduledCheck = undefined
    this._removeClosedSamples()
    for (const run of this._runs.values()) {
      if (run.isStale || !this._isOpen(run.task)) run.abort()
    }
    if (!this._hub.status('steps').isCaughtUp) return
    for (const { contract } of this._contracts.all()) {
      for (const trainer of Object.keys(contract.trainer)) {
        this._startOpenSamples(contract, trainer)
      }
    }
    this._metrics.gauge('training_samples_running', this._runs.size)
  }

  private _startOpenSamples (contract: Contract, trainer: string): void {
    const { organisation } = contract.contract
    const state = this._table.get(organisation, trainer)
    const terms = contract.trainer[trainer]
    if (state === undefined || terms === undefined) return
    const maxRunning = Math.max(1, Math.floor(contract.limits.max_in_flight / Object.keys(contract.trainer).length))
    let runningCount = [...this._runs.values()].filter(({ task }) => task.organisation === organisation && task.trainer === trainer).length
    for (const task of listOpenTasks(state, terms)) {
      if (runningCount >= maxRunning) return
      const key = keyOf(task)
      const isInProgress = this._runs.has(key) || this._awaitingReadBack.has(key)
      if (isInProgress || (this._retries.get(key)?.dueAtMs ?? 0) > performance.now() || !this._ownership.isOwned(task)) continue
      runningCount++
      this._start(key, task)
    }
  }

  private _start (key: string, task: SampleTask): void {
    const newestVersion = (): number => this._table.get(task.organisation, task.trainer)?.version ?? 0
    const run = new SampleRun(task, this._generator, this._scorer, newestVersion)
    this._runs.set(key, run)
    run.run().catch((error: unknown): SampleRunOutcome => ({ kind: 'failed', reason: String(error) })).then((outcome) => {
      this._runs.delete(key)
      if (this._isDisposed) return
      this._finish(key, task, outcome)
      this._scheduleCheck()
    })
  }

  private _finish (key: string, task: SampleTask, outcome: SampleRunOutcome): void {
    this._metrics.count('training_sample_runs', { end: outcome.kind })
    if (outcome.kind === 'aborted' || !this._isOpen(task)) return
    const { organisation, trainer, step, spec: { group }, index } = task
    if (outcome.kind === 'done' && this._needsBlockConfirmation(key, outcome)) {
      this._retries.set(key, { task, failures: 0, dueAtMs: performance.now() + BLOCK_CONFIRMATION_MS })
      return
    }
    if (outcome.kind === 'done') {
      const { failure } = outcome.sample
      if (failure !== undefined) this._logger.warn({ organisation, trainer, step, group, index, failure }, 'sample_without_tokens')
      this._awaitingReadBack.set(key, task)
      // The hub keeps the record while the log is unavailable.
      const record = { type: 'sample', id: crypto.randomUUID(), organisation, trainer, step, group, sample: outcome.sample }
      this._hub.appendEventually('steps', record)
      return
    }
    const failures = (this._retries.get(key)?.failures ?? 0) + 1
    const maxMs = outcome.kind === 'stale' ? STALE_RETRY_MAX_MS : RETRY_MAX_MS
    const backoffMs = Math.min(maxMs, RETRY_BASE_MS * 2 ** (failures - 1)) * (0.5 + Math.random() / 2)
    this._retries.set(key, { task, failures, dueAtMs: performance.now() + backoffMs })
    const reason = outcome.kind === 'stale' ? 'stale' : outcome.reason
    this._logger.warn({ organisation, trainer, step, group, index, failures, reason }, 'sample_run_failed')
  }

  /** True for the first `request_blocked` of a sample: records of other entries or another run may still clear the request. */
  private _needsBlockConfirmation (key: string, outcome: Extract<SampleRunOutcome, { kind: 'done' }>): boolean {
    if (outcome.sample.failure !== 'request_blocked') return false
    const firstBlockedAtMs = this._firstBlockedAtMs.get(key)
    if (firstBlockedAtMs === undefined) this._firstBlockedAtMs.set(key, performance.now())
    return firstBlockedAtMs === undefined
  }

  /** False when the sample was recorded or reopened under a new attempt, or its group was acknowledged. */
  private _isOpen (task: SampleTask): boolean {
    if (!this._table.isComplete(task.organisation, task.trainer)) return true
    const group = this._table.get(task.organisation, task.trainer)?.group(task.step, task.spec.group)
    return group !== undefined && group.attempts[task.index] === task.attempt && group.samples[task.index] === undefined
  }

  /** Removes the data about samples that are no longer open. */
  private _removeClosedSamples (): void {
    for (const [key, task] of this._awaitingReadBack) {
      if (!this._isOpen(task)) this._awaitingReadBack.delete(key)
    }
    for (const [key, { task }] of this._retries) {
      if (this._isOpen(task)) continue
      this._retries.delete(key)
      this._firstBlockedAtMs.delete(key)
    }
  }
}

function keyOf (task: SampleTask): string {
  return `${task.organisation}/${task.trainer}/${task.step}/${task.spec.group}/${task.index}/${task.attempt}`
}

import { err, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { IContractStore } from '../contract/IContractStore.js'
import { contractStoreId } from '../contract/contractStoreId.js'
import type { ILogHub } from '../log/ILogHub.js'
import { logHubId } from '../log/logHubId.js'
import type { LogError } from '../log/LogError.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import { metricsId } from '../metrics/metricsId.js'
import type { GroupSpec } from '../schema/GroupSpec.js'
import type { Sample } from '../schema/Sample.js'
import type { StepRecord } from '../schema/StepRecord.js'
import type { TrainerTerms } from '../schema/TrainerTerms.js'
import type { DeliveredGroup } from './DeliveredGroup.js'
import type { DeliveryPlan } from './DeliveryPlan.js'
import type { GroupRead } from './GroupRead.js'
import type { IStepTable } from './IStepTable.js'
import type { ITrainerDesk } from './ITrainerDesk.js'
import type { StaleSample } from './StaleSample.js'
import type { TrainingError } from './TrainingError.js'
import { checkStep } from './checkStep.js'
import { planDelivery } from './planDelivery.js'
import { stepTableId } from './stepTableId.js'
import { waitForTrainer } from './waitForTrainer.js'

const APPEND_TIMEOUT_MS = 5000
const MAX_WAIT_MS = 60_000
const RETRY_PAUSE_MS = 200
// Time for an entry that lags behind the trainer's last entry to read up to the stated cursor.
const CATCH_UP_MS = 5000

type RecordBody = StepRecord extends infer R ? R extends StepRecord ? Omit<R, 'id' | 'customer' | 'trainer'> : never : never
type Delivery = { groups: DeliveredGroup[], cursor: number }

/** The trainers' requests, decided on the fold of the `steps` stream. */
export class TrainerDesk implements ITrainerDesk {
  constructor (
    @stepTableId private readonly _table: IStepTable,
    @logHubId private readonly _hub: ILogHub,
    @contractStoreId private readonly _contracts: IContractStore,
    @metricsId private readonly _metrics: IMetrics
  ) {}

  submit (customer: string, trainer: string, step: number, groups: GroupSpec[]): ResultAsync<void, TrainingError> {
    return new ResultAsync(this._submit(customer, trainer, step, groups))
  }

  read (read: GroupRead): ResultAsync<Delivery, TrainingError> {
    return new ResultAsync(this._read(read))
  }

  acknowledge (customer: string, trainer: string, cursor: number): ResultAsync<void, TrainingError> {
    return new ResultAsync(this._acknowledge(customer, trainer, cursor))
  }

  announceWeights (customer: string, trainer: string, version: number): ResultAsync<void, TrainingError> {
    const terms = this._terms(customer, trainer)
    if (terms.isErr()) return new ResultAsync(Promise.resolve(err(terms.error)))
    return new ResultAsync(this._append(customer, trainer, { type: 'weights', version }))
  }

  private async _submit (customer: string, trainer: string, step: number, groups: GroupSpec[]): Promise<Result<void, TrainingError>> {
    const checked = this._terms(customer, trainer).andThen((terms) => checkStep(step, groups, terms))
    if (checked.isErr()) return checked
    if (!this._isAvailable(customer, trainer)) return err(unavailable('the state of the trainer is being restored'))
    const known = this._knownStep(customer, trainer, step, groups)
    if (known !== undefined) return known
    const appended = await this._append(customer, trainer, { type: 'submit', step, groups, at_ms: Date.now() })
    if (appended.isErr()) return appended
    // Another submission of the same step may have been first.
    return this._knownStep(customer, trainer, step, groups) ?? err(unavailable('the submission was not applied', true))
  }

  private _knownStep (customer: string, trainer: string, step: number, groups: GroupSpec[]): Result<void, TrainingError> | undefined {
    const state = this._table.get(customer, trainer)
    if (state === undefined) return undefined
    const digest = state.steps.get(step)
    if (digest === this._table.digest(groups)) return ok(undefined)
    if (digest !== undefined) return err({ kind: 'step_conflict', message: `step ${step} was submitted with other groups` })
    if (step > state.floorStep) return undefined
    return err({ kind: 'step_conflict', message: `step ${step} is older than the steps that are remembered` })
  }

  private async _read (read: GroupRead): Promise<Result<Delivery, TrainingError>> {
    const terms = this._terms(read.customer, read.trainer)
    if (terms.isErr()) return err(terms.error)
    const startedAtMs = performance.now()
    const endAtMs = startedAtMs + Math.min(Math.max(0, read.waitMs), MAX_WAIT_MS)
    const reachable = await this._checkCursor(read, startedAtMs)
    if (reachable.isErr()) return err(reachable.error)
    this._recordCursor(read)
    for (;;) {
      const isAvailable = this._isAvailable(read.customer, read.trainer)
      const plan = isAvailable ? this._plan(read, terms.value) : { kind: 'wait' as const }
      if (plan.kind === 'deliver') return ok(this._deliver(read, plan))
      const done = plan.kind === 'wait' ? ok(undefined) : await this._carryOut(read, plan)
      if (plan.kind !== 'wait' && done.isOk()) continue
      const remainingMs = endAtMs - performance.now()
      if (remainingMs <= 0 || read.signal.aborted) {
        if (!isAvailable) return err(unavailable('the state of the trainer is being restored'))
        return done.isErr() ? err(done.error) : ok({ groups: [], cursor: read.cursor })
      }
      const pauseMs = done.isErr() ? Math.min(RETRY_PAUSE_MS, remainingMs) : remainingMs
      await waitForTrainer(this._table, read.customer, read.trainer, pauseMs, read.signal)
    }
  }

  /** Waits until this entry has read up to the cursor, which another entry may have issued. */
  private async _checkCursor ({ customer, trainer, cursor, signal }: Omit<GroupRead, 'version' | 'max' | 'waitMs'>, startedAtMs: number): Promise<Result<void, TrainingError>> {
    const beyond: TrainingError = { kind: 'cursor_invalid', message: `cursor ${cursor} is above every record of the log` }
    for (;;) {
      const status = this._hub.status('steps')
      if (cursor <= 0 || cursor < status.nextOffset) return ok(undefined)
      if (status.isCaughtUp && status.lastAtEndMs > startedAtMs && this._isAvailable(customer, trainer)) return err(beyond)
      const remainingMs = startedAtMs + CATCH_UP_MS - performance.now()
      if (remainingMs <= 0 || signal.aborted) return err(unavailable('this entry has not read the log up to the cursor'))
      await waitForTrainer(this._table, customer, trainer, Math.min(RETRY_PAUSE_MS, remainingMs), signal)
    }
  }

  private _plan (read: GroupRead, terms: TrainerTerms): DeliveryPlan {
    const state = this._table.get(read.customer, read.trainer)
    if (state === undefined) return { kind: 'wait' }
    return planDelivery(state, read.cursor, read.max, Math.max(read.version, state.version), terms.staleness_versions)
  }

  private async _carryOut (read: GroupRead, plan: Exclude<DeliveryPlan, { kind: 'wait' | 'deliver' }>): Promise<Result<void, TrainingError>> {
    const results = await Promise.all(recordsOf(read, plan).map((record) => this._append(read.customer, read.trainer, record)))
    return results.find((result) => result.isErr()) ?? ok(undefined)
  }

  private _deliver (read: GroupRead, plan: Extract<DeliveryPlan, { kind: 'deliver' }>): Delivery {
    // Reopened now, so that the trainer does not wait for them at a later read.
    for (const stale of plan.stale) {
      this._hub.appendEventually('steps', this._record(read.customer, read.trainer, expireRecord(stale)))
    }
    this._metrics.count('training_groups_delivered', { customer: read.customer }, plan.groups.length)
    const groups = plan.groups.map((group): DeliveredGroup => ({
      step: group.step,
      group: group.spec.group,
      position: group.position ?? 0,
      samples: group.samples.filter((sample): sample is Sample => sample !== undefined)
    }))
    return { groups, cursor: plan.cursor }
  }

  /** The trainer has everything up to the cursor of its read, so that these groups can be removed. */
  private _recordCursor ({ customer, trainer, cursor }: GroupRead): void {
    const state = this._table.get(customer, trainer)
    if (state !== undefined && cursor > state.cursor) {
      this._hub.appendEventually('steps', this._record(customer, trainer, { type: 'ack', cursor }))
    }
  }

  private async _acknowledge (customer: string, trainer: string, cursor: number): Promise<Result<void, TrainingError>> {
    const terms = this._terms(customer, trainer)
    if (terms.isErr()) return err(terms.error)
    const signal = new AbortController().signal
    const reachable = await this._checkCursor({ customer, trainer, cursor, signal }, performance.now())
    if (reachable.isErr()) return reachable
    return await this._append(customer, trainer, { type: 'ack', cursor })
  }

  private _isAvailable (customer: string, trainer: string): boolean {
    return this._hub.status('steps').isCaughtUp && this._table.isComplete(customer, trainer)
  }

  private _terms (customer: string, trainer: string): Result<TrainerTerms, TrainingError> {
    const trainers = this._contracts.current(customer)?.contract.trainer
    if (trainers === undefined || !Object.hasOwn(trainers, trainer)) {
      return err({ kind: 'trainer_unknown', message: `the contract of ${customer} has no trainer ${trainer}` })
    }
    return ok(trainers[trainer]!)
  }

  private async _append (customer: string, trainer: string, body: RecordBody): Promise<Result<void, TrainingError>> {
    const appended = await this._hub.append('steps', this._record(customer, trainer, body), APPEND_TIMEOUT_MS)
    return appended.map(() => undefined).mapErr((error: LogError) => unavailable(error.message, error.mayLand))
  }

  private _record (customer: string, trainer: string, body: RecordBody): { id: string } & RecordBody {
    const fields = { id: crypto.randomUUID(), customer, trainer }
    return { ...fields, ...body }
  }
}

function recordsOf (read: GroupRead, plan: Exclude<DeliveryPlan, { kind: 'wait' | 'deliver' }>): RecordBody[] {
  switch (plan.kind) {
    case 'settle': return [{ type: 'ack', cursor: read.cursor }]
    case 'hold': return [{ type: 'hold', cursor: read.cursor }]
    case 'place': return plan.groups.map((group) => ({ type: 'place', step: group.step, group: group.spec.group }))
    case 'expire': return plan.stale.map(expireRecord)
  }
}

function expireRecord ({ step, group, index, attempt }: StaleSample): RecordBody {
  return { type: 'expire', step, group, index, attempt }
}

function unavailable (message: string, mayLand = false): TrainingError {
  return { kind: 'training_unavailable', message, mayLand }
}

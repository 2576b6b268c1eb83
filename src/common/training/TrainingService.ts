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
import type { GroupReadRequest } from './GroupReadRequest.js'
import type { IStepTable } from './step/IStepTable.js'
import type { ITrainingService } from './ITrainingService.js'
import type { StaleSample } from './step/StaleSample.js'
import type { TrainingError } from './TrainingError.js'
import { checkStep } from './step/checkStep.js'
import { planDelivery } from './planDelivery.js'
import { stepTableId } from './step/stepTableId.js'
import { waitForTrainerChange } from './waitForTrainerChange.js'

const APPEND_TIMEOUT_MS = 5000
const MAX_WAIT_MS = 60_000
const RETRY_PAUSE_MS = 200
// Time for an entry that lags behind the trainer's last entry to read up to the stated cursor.
const CATCH_UP_MS = 5000

type RecordBody = StepRecord extends infer R ? R extends StepRecord ? Omit<R, 'id' | 'organisation' | 'trainer'> : never : never
type Delivery = { groups: DeliveredGroup[], cursor: number }

/** The trainers' requests, decided on the fold of the `steps` stream. */
export class TrainingService implements ITrainingService {
  constructor (
    @stepTableId private readonly _table: IStepTable,
    @logHubId private readonly _hub: ILogHub,
    @contractStoreId private readonly _contracts: IContractStore,
    @metricsId private readonly _metrics: IMetrics
  ) {}

  submit (organisation: string, trainer: string, step: number, groups: GroupSpec[]): ResultAsync<void, TrainingError> {
    return new ResultAsync(this._submit(organisation, trainer, step, groups))
  }

  read (read: GroupReadRequest): ResultAsync<Delivery, TrainingError> {
    return new ResultAsync(this._read(read))
  }

  acknowledge (organisation: string, trainer: string, cursor: number): ResultAsync<void, TrainingError> {
    return new ResultAsync(this._acknowledge(organisation, trainer, cursor))
  }

  announceWeights (organisation: string, trainer: string, version: number): ResultAsync<void, TrainingError> {
    const terms = this._terms(organisation, trainer)
    if (terms.isErr()) return new ResultAsync(Promise.resolve(err(terms.error)))
    return new ResultAsync(this._append(organisation, trainer, { type: 'weights', version }))
  }

  private async _submit (organisation: string, trainer: string, step: number, groups: GroupSpec[]): Promise<Result<void, TrainingError>> {
    const checked = this._terms(organisation, trainer).andThen((terms) => checkStep(step, groups, terms))
    if (checked.isErr()) return checked
    if (!this._isAvailable(organisation, trainer)) return err(unavailable('the state of the trainer is being restored'))
    const known = this._knownStep(organisation, trainer, step, groups)
    if (known !== undefined) return known
    const appended = await this._append(organisation, trainer, { type: 'submit', step, groups, at_ms: Date.now() })
    if (appended.isErr()) return appended
    // Another submission of the same step may have been first.
    return this._knownStep(organisation, trainer, step, groups) ?? err(unavailable('the submission was not applied', true))
  }

  private _knownStep (organisation: string, trainer: string, step: number, groups: GroupSpec[]): Result<void, TrainingError> | undefined {
    const state = this._table.get(organisation, trainer)
    if (state === undefined) return undefined
    const digest = state.steps.get(step)
    if (digest === this._table.digest(groups)) return ok(undefined)
    if (digest !== undefined) return err({ kind: 'step_conflict', message: `step ${step} was submitted with other groups` })
    if (step > state.floorStep) return undefined
    return err({ kind: 'step_conflict', message: `step ${step} is older than the steps that are remembered` })
  }

  private async _read (read: GroupReadRequest): Promise<Result<Delivery, TrainingError>> {
    const terms = this._terms(read.organisation, read.trainer)
    if (terms.isErr()) return err(terms.error)
    const startedAtMs = performance.now()
    const endAtMs = startedAtMs + Math.min(Math.max(0, read.waitMs), MAX_WAIT_MS)
    const reachable = await this._checkCursor(read, startedAtMs)
    if (reachable.isErr()) return err(reachable.error)
    this._recordCursor(read)
    for (;;) {
      const isAvailable = this._isAvailable(read.organisation, read.trainer)
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
      await waitForTrainerChange(this._table, read.organisation, read.trainer, pauseMs, read.signal)
    }
  }

  /** Waits until this entry has read up to the cursor, which another entry may have issued. */
  private async _checkCursor ({ organisation, trainer, cursor, signal }: Omit<GroupReadRequest, 'version' | 'max' | 'waitMs'>, startedAtMs: number): Promise<Result<void, TrainingError>> {
    const beyond: TrainingError = { kind: 'cursor_invalid', message: `cursor ${cursor} is above every record of the log` }
    for (;;) {
      const status = this._hub.status('steps')
      if (cursor <= 0 || cursor < status.nextOffset) return ok(undefined)
      if (status.isCaughtUp && status.endReachedAtMs > startedAtMs && this._isAvailable(organisation, trainer)) return err(beyond)
      const remainingMs = startedAtMs + CATCH_UP_MS - performance.now()
      if (remainingMs <= 0 || signal.aborted) return err(unavailable('this entry has not read the log up to the cursor'))
      await waitForTrainerChange(this._table, organisation, trainer, Math.min(RETRY_PAUSE_MS, remainingMs), signal)
    }
  }

  private _plan (read: GroupReadRequest, terms: TrainerTerms): DeliveryPlan {
    const state = this._table.get(read.organisation, read.trainer)
    if (state === undefined) return { kind: 'wait' }
    return planDelivery(state, read.cursor, read.max, Math.max(read.version, state.version), terms.staleness_versions)
  }

  private async _carryOut (read: GroupReadRequest, plan: Exclude<DeliveryPlan, { kind: 'wait' | 'deliver' }>): Promise<Result<void, TrainingError>> {
    const results = await Promise.all(recordsOf(read, plan).map((record) => this._append(read.organisation, read.trainer, record)))
    return results.find((result) => result.isErr()) ?? ok(undefined)
  }

  private _deliver (read: GroupReadRequest, plan: Extract<DeliveryPlan, { kind: 'deliver' }>): Delivery {
    // Reopened now, so that the trainer does not wait for them at a later read.
    for (const stale of plan.stale) {
      this._hub.appendEventually('steps', this._record(read.organisation, read.trainer, expireRecord(stale)))
    }
    this._metrics.count('training_groups_delivered', { organisation: read.organisation }, plan.groups.length)
    const groups = plan.groups.map((group): DeliveredGroup => ({
      step: group.step,
      group: group.spec.group,
      position: group.position ?? 0,
      samples: group.samples.filter((sample): sample is Sample => sample !== undefined)
    }))
    return { groups, cursor: plan.cursor }
  }

  /** The trainer has everything up to the cursor of its read, so that these groups can be removed. */
  private _recordCursor ({ organisation, trainer, cursor }: GroupReadRequest): void {
    const state = this._table.get(organisation, trainer)
    if (state !== undefined && cursor > state.cursor) {
      this._hub.appendEventually('steps', this._record(organisation, trainer, { type: 'ack', cursor }))
    }
  }

  private async _acknowledge (organisation: string, trainer: string, cursor: number): Promise<Result<void, TrainingError>> {
    const terms = this._terms(organisation, trainer)
    if (terms.isErr()) return err(terms.error)
    const signal = new AbortController().signal
    const reachable = await this._checkCursor({ organisation, trainer, cursor, signal }, performance.now())
    if (reachable.isErr()) return reachable
    return await this._append(organisation, trainer, { type: 'ack', cursor })
  }

  private _isAvailable (organisation: string, trainer: string): boolean {
    return this._hub.status('steps').isCaughtUp && this._table.isComplete(organisation, trainer)
  }

  private _terms (organisation: string, trainer: string): Result<TrainerTerms, TrainingError> {
    const trainers = this._contracts.current(organisation)?.contract.trainer
    if (trainers === undefined || !Object.hasOwn(trainers, trainer)) {
      return err({ kind: 'trainer_unknown', message: `the contract of ${organisation} has no trainer ${trainer}` })
    }
    return ok(trainers[trainer]!)
  }

  private async _append (organisation: string, trainer: string, body: RecordBody): Promise<Result<void, TrainingError>> {
    const appended = await this._hub.append('steps', this._record(organisation, trainer, body), APPEND_TIMEOUT_MS)
    return appended.map(() => undefined).mapErr((error: LogError) => unavailable(error.message, error.mayLand))
  }

  private _record (organisation: string, trainer: string, body: RecordBody): { id: string } & RecordBody {
    const fields = { id: crypto.randomUUID(), organisation, trainer }
    return { ...fields, ...body }
  }
}

function recordsOf (read: GroupReadRequest, plan: Exclude<DeliveryPlan, { kind: 'wait' | 'deliver' }>): RecordBody[] {
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

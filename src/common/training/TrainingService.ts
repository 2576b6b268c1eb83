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
const RETRY_INTERVAL_MS = 200
// Bounds the wait of an entry that lags behind the entry which issued the cursor.
const CATCH_UP_TIMEOUT_MS = 5000

type RecordBody = StepRecord extends infer R ? R extends StepRecord ? Omit<R, 'id' | 'organisation' | 'trainer'> : never : never
type Delivery = { groups: DeliveredGroup[], cursor: number }

/** Serves requests of trainers from the fold of the `steps` stream. */
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

  read (request: GroupReadRequest): ResultAsync<Delivery, TrainingError> {
    return new ResultAsync(this._read(request))
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
    const validated = this._terms(organisation, trainer).andThen((terms) => checkStep(step, groups, terms))
    if (validated.isErr()) return validated
    if (!this._isAvailable(organisation, trainer)) return err(unavailable('the state of the trainer is still being restored from the log'))
    const earlier = this._matchSubmittedStep(organisation, trainer, step, groups)
    if (earlier !== undefined) return earlier
    const appended = await this._append(organisation, trainer, { type: 'submit', step, groups, at_ms: Date.now() })
    if (appended.isErr()) return appended
    // The log may hold an earlier submission of the same step by another request, which wins.
    return this._matchSubmittedStep(organisation, trainer, step, groups) ?? err(unavailable('the submitted step was not applied', true))
  }

  /** Result for a step that was submitted before; undefined if the step is new. */
  private _matchSubmittedStep (organisation: string, trainer: string, step: number, groups: GroupSpec[]): Result<void, TrainingError> | undefined {
    const state = this._table.get(organisation, trainer)
    if (state === undefined) return undefined
    const digest = state.steps.get(step)
    if (digest === this._table.digest(groups)) return ok(undefined)
    if (digest !== undefined) return err({ kind: 'step_conflict', message: `step ${step} was submitted with other groups` })
    if (step > state.floorStep) return undefined
    return err({ kind: 'step_conflict', message: `step ${step} is older than the oldest step whose digest is kept` })
  }

  private async _read (request: GroupReadRequest): Promise<Result<Delivery, TrainingError>> {
    const terms = this._terms(request.organisation, request.trainer)
    if (terms.isErr()) return err(terms.error)
    const startedAtMs = performance.now()
    const deadlineAtMs = startedAtMs + Math.min(Math.max(0, request.waitMs), MAX_WAIT_MS)
    const cursorReached = await this._waitForCursor(request, startedAtMs)
    if (cursorReached.isErr()) return err(cursorReached.error)
    this._appendAcknowledgement(request)
    for (;;) {
      const isAvailable = this._isAvailable(request.organisation, request.trainer)
      const plan = isAvailable ? this._planRead(request, terms.value) : { kind: 'wait' as const }
      if (plan.kind === 'deliver') return ok(this._deliver(request, plan))
      const appended = plan.kind === 'wait' ? ok(undefined) : await this._appendRecordsOf(request, plan)
      if (plan.kind !== 'wait' && appended.isOk()) continue
      const remainingMs = deadlineAtMs - performance.now()
      if (remainingMs <= 0 || request.signal.aborted) {
        if (!isAvailable) return err(unavailable('the state of the trainer is still being restored from the log'))
        return appended.isErr() ? err(appended.error) : ok({ groups: [], cursor: request.cursor })
      }
      const timeoutMs = appended.isErr() ? Math.min(RETRY_INTERVAL_MS, remainingMs) : remainingMs
      await waitForTrainerChange(this._table, request.organisation, request.trainer, timeoutMs, request.signal)
    }
  }

  /** Waits until this entry has read the log up to the cursor, which another entry may have issued. */
  private async _waitForCursor ({ organisation, trainer, cursor, signal }: Omit<GroupReadRequest, 'version' | 'max' | 'waitMs'>, startedAtMs: number): Promise<Result<void, TrainingError>> {
    const invalidCursor: TrainingError = { kind: 'cursor_invalid', message: `cursor ${cursor} is beyond the end of the log` }
    for (;;) {
      const status = this._hub.status('steps')
      if (cursor <= 0 || cursor < status.nextOffset) return ok(undefined)
      if (status.isCaughtUp && status.endReachedAtMs > startedAtMs && this._isAvailable(organisation, trainer)) return err(invalidCursor)
      const remainingMs = startedAtMs + CATCH_UP_TIMEOUT_MS - performance.now()
      if (remainingMs <= 0 || signal.aborted) return err(unavailable('this entry has not read the log up to the cursor'))
      await waitForTrainerChange(this._table, organisation, trainer, Math.min(RETRY_INTERVAL_MS, remainingMs), signal)
    }
  }

  private _planRead (request: GroupReadRequest, terms: TrainerTerms): DeliveryPlan {
    const state = this._table.get(request.organisation, request.trainer)
    if (state === undefined) return { kind: 'wait' }
    return planDelivery(state, request.cursor, request.max, Math.max(request.version, state.version), terms.staleness_versions)
  }

  private async _appendRecordsOf (request: GroupReadRequest, plan: Exclude<DeliveryPlan, { kind: 'wait' | 'deliver' }>): Promise<Result<void, TrainingError>> {
    const results = await Promise.all(createRecords(request, plan).map((record) => this._append(request.organisation, request.trainer, record)))
    return results.find((result) => result.isErr()) ?? ok(undefined)
  }

  private _deliver (request: GroupReadRequest, plan: Extract<DeliveryPlan, { kind: 'deliver' }>): Delivery {
    // Reopens stale samples now, so that they are generated again before a later read needs them.
    for (const stale of plan.stale) {
      this._hub.appendEventually('steps', this._createRecord(request.organisation, request.trainer, createExpireRecord(stale)))
    }
    this._metrics.count('training_groups_delivered', { organisation: request.organisation }, plan.groups.length)
    const groups = plan.groups.map((group): DeliveredGroup => ({
      step: group.step,
      group: group.spec.group,
      position: group.position ?? 0,
      samples: group.samples.filter((sample): sample is Sample => sample !== undefined)
    }))
    return { groups, cursor: plan.cursor }
  }

  /** Acknowledges the groups up to the cursor of a read, which states that the trainer has received them. */
  private _appendAcknowledgement ({ organisation, trainer, cursor }: GroupReadRequest): void {
    const state = this._table.get(organisation, trainer)
    if (state !== undefined && cursor > state.cursor) {
      this._hub.appendEventually('steps', this._createRecord(organisation, trainer, { type: 'ack', cursor }))
    }
  }

  private async _acknowledge (organisation: string, trainer: string, cursor: number): Promise<Result<void, TrainingError>> {
    const terms = this._terms(organisation, trainer)
    if (terms.isErr()) return err(terms.error)
    const signal = new AbortController().signal
    const cursorReached = await this._waitForCursor({ organisation, trainer, cursor, signal }, performance.now())
    if (cursorReached.isErr()) return cursorReached
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
    const appended = await this._hub.append('steps', this._createRecord(organisation, trainer, body), APPEND_TIMEOUT_MS)
    return appended.map(() => undefined).mapErr((error: LogError) => unavailable(error.message, error.mayTakeEffect))
  }

  private _createRecord (organisation: string, trainer: string, body: RecordBody): { id: string } & RecordBody {
    const fields = { id: crypto.randomUUID(), organisation, trainer }
    return { ...fields, ...body }
  }
}

function createRecords (request: GroupReadRequest, plan: Exclude<DeliveryPlan, { kind: 'wait' | 'deliver' }>): RecordBody[] {
  switch (plan.kind) {
    case 'ack': return [{ type: 'ack', cursor: request.cursor }]
    case 'hold': return [{ type: 'hold', cursor: request.cursor }]
    case 'place': return plan.groups.map((group) => ({ type: 'place', step: group.step, group: group.spec.group }))
    case 'expire': return plan.stale.map(createExpireRecord)
  }
}

function createExpireRecord ({ step, group, index, attempt }: StaleSample): RecordBody {
  return { type: 'expire', step, group, index, attempt }
}

function unavailable (message: string, mayTakeEffect = false): TrainingError {
  return { kind: 'training_unavailable', message, mayTakeEffect }
}

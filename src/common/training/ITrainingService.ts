import type { ResultAsync } from 'neverthrow'
import type { GroupSpec } from '../schema/GroupSpec.js'
import type { DeliveredGroup } from './DeliveredGroup.js'
import type { GroupReadRequest } from './GroupReadRequest.js'
import type { TrainingError } from './TrainingError.js'

/** What trainers ask for: submit steps, read whole groups, acknowledge, announce weights. */
export interface ITrainingService {
  /** Accepts a step once; the same step with the same groups is accepted again without effect. */
  submit (organisation: string, trainer: string, step: number, groups: GroupSpec[]): ResultAsync<void, TrainingError>
  /** Returns whole groups above the cursor that meet the staleness bound, and the next cursor. */
  read (read: GroupReadRequest): ResultAsync<{ groups: DeliveredGroup[], cursor: number }, TrainingError>
  acknowledge (organisation: string, trainer: string, cursor: number): ResultAsync<void, TrainingError>
  announceWeights (organisation: string, trainer: string, version: number): ResultAsync<void, TrainingError>
}

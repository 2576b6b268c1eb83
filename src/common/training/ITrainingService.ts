import type { ResultAsync } from 'neverthrow'
import type { GroupSpec } from '../schema/GroupSpec.js'
import type { DeliveredGroup } from './DeliveredGroup.js'
import type { GroupReadRequest } from './GroupReadRequest.js'
import type { TrainingError } from './TrainingError.js'

/** Operations of trainers: submit steps, read complete groups, acknowledge them and announce weight versions. */
export interface ITrainingService {
  /** Submits a step. Idempotent for equal groups; other groups under the same step fail with `step_conflict`. */
  submit (organisation: string, trainer: string, step: number, groups: GroupSpec[]): ResultAsync<void, TrainingError>
  /**
   * Returns complete groups above the cursor that are within the staleness bound, and the next cursor.
   * Returns no groups and the same cursor when none becomes available within `waitMs`.
   */
  read (request: GroupReadRequest): ResultAsync<{ groups: DeliveredGroup[], cursor: number }, TrainingError>
  /** Acknowledges every group up to the cursor, so that these groups are removed. */
  acknowledge (organisation: string, trainer: string, cursor: number): ResultAsync<void, TrainingError>
  /** Announces a weight version; staleness is measured against the newest announced version. */
  announceWeights (organisation: string, trainer: string, version: number): ResultAsync<void, TrainingError>
}

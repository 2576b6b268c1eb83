import type { StepRecord } from '../../schema/StepRecord.js'
import type { TrainerState } from '../step/TrainerState.js'

/**
 * Records of a snapshot of a trainer's state: a `carry` record as head, then one `carry_group` record per group.
 * The state includes every record below the offset `asOf`.
 */
export function createTrainerSnapshot (state: TrainerState, asOf: number): StepRecord[] {
  const { organisation, trainer, version, cursor } = state
  const snapshotId = crypto.randomUUID()
  const head: StepRecord = {
    type: 'carry',
    id: snapshotId,
    organisation,
    trainer,
    set: snapshotId,
    as_of: asOf,
    version,
    cursor,
    min_next_cursor: state.minNextCursor,
    floor_step: state.floorStep,
    steps: [...state.steps].map(([step, digest]) => ({ step, digest })),
    groups: state.groups.size
  }
  const groups = [...state.groups.values()].map((group): StepRecord => ({
    type: 'carry_group',
    id: crypto.randomUUID(),
    organisation,
    trainer,
    set: snapshotId,
    step: group.step,
    spec: group.spec,
    submitted_at_ms: group.submittedAtMs,
    position: group.position,
    past: group.formerPositions.map((range) => ({ ...range })),
    attempts: [...group.attempts],
    samples: group.samples.filter((sample) => sample !== undefined)
  }))
  return [head, ...groups]
}

import type { StepRecord } from '../../schema/StepRecord.js'
import type { TrainerState } from '../step/TrainerState.js'

/** Records that carry a trainer's state: the head, then one record per group. */
export function createTrainerSnapshot (state: TrainerState, asOf: number): StepRecord[] {
  const { organisation, trainer, version, cursor } = state
  const set = crypto.randomUUID()
  const head: StepRecord = {
    type: 'carry',
    id: set,
    organisation,
    trainer,
    set,
    as_of: asOf,
    version,
    cursor,
    floor_step: state.floorStep,
    steps: [...state.steps].map(([step, digest]) => ({ step, digest })),
    groups: state.groups.size
  }
  const groups = [...state.groups.values()].map((group): StepRecord => ({
    type: 'carry_group',
    id: crypto.randomUUID(),
    organisation,
    trainer,
    set,
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

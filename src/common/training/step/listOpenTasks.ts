import type { TrainerTerms } from '../../schema/TrainerTerms.js'
import type { SampleTask } from '../sample/SampleTask.js'
import type { TrainerState } from './TrainerState.js'

/** Open indexes of a trainer, older steps first and group by group, so that groups complete early. */
export function listOpenTasks (state: TrainerState, terms: TrainerTerms): SampleTask[] {
  const { organisation, trainer } = state
  const groups = [...state.groups.values()].sort((a, b) => a.step - b.step)
  return groups.flatMap(({ step, spec, submittedAtMs, attempts, samples }) => {
    const open = attempts.map((attempt, index) => ({ organisation, trainer, terms, step, spec, index, attempt, submittedAtMs }))
    return open.filter(({ index }) => samples[index] === undefined)
  })
}

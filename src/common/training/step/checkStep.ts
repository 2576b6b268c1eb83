import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { GroupSpec } from '../../schema/GroupSpec.js'
import type { TrainerTerms } from '../../schema/TrainerTerms.js'
import type { TrainingError } from '../TrainingError.js'

// Eight times the samples of a step at the sizes of docs/design.md 1.7.
const MAX_SAMPLES_PER_STEP = 4096

/** Checks a submitted step against the contract's terms; the error names the first invalid field. */
export function checkStep (step: number, groups: GroupSpec[], terms: TrainerTerms): Result<void, TrainingError> {
  const invalid = (field: string, message: string): Result<void, TrainingError> => err({ kind: 'step_invalid', message, field })
  if (!Number.isSafeInteger(step) || step < 0) return invalid('step', 'step must be an integer of at least 0')
  if (groups.length === 0) return invalid('groups', 'a step needs at least one group')
  const names = new Set<string>()
  let sampleCount = 0
  for (const [i, group] of groups.entries()) {
    if (names.has(group.group)) return invalid(`groups.${i}.group`, `group ${group.group} occurs twice`)
    names.add(group.group)
    sampleCount += group.samples
    if (group.max_tokens > terms.max_tokens) {
      return invalid(`groups.${i}.max_tokens`, `max_tokens exceeds the contract's ${terms.max_tokens}`)
    }
  }
  if (sampleCount > MAX_SAMPLES_PER_STEP) return invalid('groups', `a step has at most ${MAX_SAMPLES_PER_STEP} samples`)
  return ok(undefined)
}

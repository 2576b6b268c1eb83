import type { GroupSpec } from '../../schema/GroupSpec.js'
import type { TrainerTerms } from '../../schema/TrainerTerms.js'

/** One attempt of one sample index. */
export interface SampleTask {
  organisation: string
  trainer: string
  terms: TrainerTerms
  step: number
  spec: GroupSpec
  index: number
  attempt: number
  submittedAtMs: number
}

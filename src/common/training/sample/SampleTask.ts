import type { GroupSpec } from '../../schema/GroupSpec.js'
import type { TrainerTerms } from '../../schema/TrainerTerms.js'

/** One attempt to produce the sample at an index of a group. */
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

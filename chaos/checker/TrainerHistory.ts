import type { ReceivedGroup } from '../../standin/trainer/ReceivedGroup.js'

/** Groups that a trainer requested and received. */
export interface TrainerHistory {
  trainer: string
  /** Staleness bound of the contract, in weight versions. */
  bound: number
  groupsPerStep: number
  samplesPerGroup: number
  stepsDone: number
  received: ReceivedGroup[]
}

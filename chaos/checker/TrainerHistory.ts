import type { ReceivedGroup } from '../../standin/trainer/ReceivedGroup.js'

/** What a trainer asked for and received. */
export interface TrainerHistory {
  trainer: string
  /** Staleness bound of the contract, in versions. */
  bound: number
  groupsPerStep: number
  samplesPerGroup: number
  stepsDone: number
  received: ReceivedGroup[]
}

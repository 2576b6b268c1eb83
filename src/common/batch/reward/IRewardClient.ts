import type { RewardCall } from '../record/RewardCall.js'
import type { RewardOutcome } from './RewardOutcome.js'
import type { RewardTarget } from './RewardTarget.js'

/** Sends reward calls. */
export interface IRewardClient {
  /** Target of a call by the configuration in force; undefined without a route. */
  resolve (call: RewardCall): RewardTarget | undefined
  /** Makes one try. `deadlineAtMs`, in terms of `performance.now()`, is the same for all tries of a call. */
  send (call: RewardCall, target: RewardTarget, deadlineAtMs: number, signal: AbortSignal): Promise<RewardOutcome>
}

import type { Route } from '../../routing/Route.js'
import type { RewardCall } from '../record/RewardCall.js'
import type { IRewardClient } from '../reward/IRewardClient.js'
import type { RewardOutcome } from '../reward/RewardOutcome.js'
import type { RewardTarget } from '../reward/RewardTarget.js'

/** Reward service that responds after a fixed time. */
export class FakeRewards implements IRewardClient {
  /** Whether the configuration has a route for the calls. */
  hasRoute = true
  /** Outcomes of the next tries by call id; then the call is scored. */
  readonly outcomes: Record<string, RewardOutcome[]> = {}
  /** Ids of the calls whose next try throws. */
  readonly throwing = new Set<string>()
  /** Call ids of all tries so far. */
  readonly sent: string[] = []
  /** Call ids of the tries that were cancelled. */
  readonly cancelled: string[] = []
  open = 0
  maxOpen = 0

  constructor (private readonly _durationMs: number) {}

  resolve (): RewardTarget | undefined {
    return this.hasRoute ? { route: { maxAttempts: 4 } as Route, service: 'rewards' } : undefined
  }

  async send (call: RewardCall, _target: RewardTarget, _deadlineAtMs: number, signal: AbortSignal): Promise<RewardOutcome> {
    this.sent.push(call.id)
    if (this.throwing.delete(call.id)) throw new Error('fault')
    this.open += 1
    this.maxOpen = Math.max(this.maxOpen, this.open)
    const outcome = this.outcomes[call.id]?.shift() ?? { kind: 'scored', score: `score of ${call.id}, try ${this.sent.filter(id => id === call.id).length}` }
    return await new Promise(resolve => {
      const finish = (result: RewardOutcome): void => {
        clearTimeout(timer)
        this.open -= 1
        resolve(result)
      }
      const timer = setTimeout(() => finish(outcome), this._durationMs)
      signal.addEventListener('abort', () => {
        this.cancelled.push(call.id)
        finish({ kind: 'cancelled' })
      }, { once: true })
    })
  }
}

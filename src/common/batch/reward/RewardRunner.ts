import type { IFleet } from '../../fleet/IFleet.js'
import { Disposable } from '../../kernel/Disposable.js'
import { toDisposable } from '../../kernel/toDisposable.js'
import type { ILogger } from '../../metrics/ILogger.js'
import type { IMetrics } from '../../metrics/IMetrics.js'
import type { Batch } from '../Batch.js'
import { maxOpenRewards } from '../policy/maxOpenRewards.js'
import { rankRewards } from '../policy/rankRewards.js'
import type { ItemState } from '../record/ItemState.js'
import type { RewardCall } from '../record/RewardCall.js'
import type { IRewardClient } from './IRewardClient.js'
import type { RewardOutcome } from './RewardOutcome.js'
import type { RewardTarget } from './RewardTarget.js'

const INITIAL_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 2000
/** Rewards that arrive later than this after the text was complete are logged. */
const LATE_REWARD_MS = 1000

interface PendingReward {
  readonly batch: Batch
  readonly state: ItemState
  readonly call: RewardCall
  /** The same for all tries, in terms of `performance.now()`. */
  readonly deadlineAtMs: number
  readonly controller: AbortController
  readonly startedAtMs: number
  /** Number of failed responses of the reward service after which the item is aborted. */
  maxFailures: number
  failures: number
  /** Number of tries that have failed. */
  tries: number
  isOpen: boolean
  /** The next try is not made before this time, in terms of `performance.now()`. */
  notBeforeMs: number
}

/** Receives the end of a reward call: its score, or undefined if the reward service failed for good. */
type RewardListener = (batch: Batch, state: ItemState, score: string | undefined) => void

/** Makes the reward calls of items whose texts are complete, and retries them until they succeed or fail for good. */
export class RewardRunner extends Disposable {
  private readonly _pending = new Map<ItemState, PendingReward>()
  private readonly _openByService = new Map<string, number>()

  constructor (
    private readonly _client: IRewardClient,
    private readonly _fleet: IFleet,
    private readonly _onEnd: RewardListener,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    this._register(toDisposable(() => this.cancelAll()))
  }

  /** Number of items that wait for their reward. */
  get size (): number {
    return this._pending.size
  }

  /** Items that wait for their reward. */
  items (): Array<{ batch: Batch, state: ItemState }> {
    return [...this._pending.values()].map(({ batch, state }) => ({ batch, state }))
  }

  /** Starts the reward call of an item; `maxItemAttempts` is the limit of the route of its batch. */
  add (batch: Batch, state: ItemState, call: RewardCall, maxItemAttempts: number, deadlineAtMs: number): void {
    const nowMs = performance.now()
    this._pending.set(state, {
      batch,
      state,
      call,
      deadlineAtMs,
      controller: new AbortController(),
      startedAtMs: nowMs,
      maxFailures: maxItemAttempts,
      failures: 0,
      tries: 0,
      isOpen: false,
      notBeforeMs: nowMs
    })
    this.startDue()
  }

  /** Ends the reward calls of a batch without telling the listener. */
  cancel (batch: Batch): void {
    for (const pending of this._pending.values()) if (pending.batch === batch) this._remove(pending)
  }

  /** Ends all reward calls without telling the listener. */
  cancelAll (): void {
    for (const pending of this._pending.values()) this._remove(pending)
  }

  /** Starts the tries that are due, as far as the reward services have slots for them. */
  startDue (): void {
    const nowMs = performance.now()
    const due = [...this._pending.values()].filter(pending => !pending.isOpen && pending.notBeforeMs <= nowMs)
    for (const pending of rankRewards(due)) {
      const target = this._client.resolve(pending.call)
      if (target === undefined) {
        this._onTryFailed(pending, 'no_route')
        continue
      }
      if (!this._hasFreeSlot(target.service)) continue
      this._try(pending, target).catch((fault: unknown) => this._onTryFailed(pending, 'fault', String(fault)))
    }
  }

  private _hasFreeSlot (service: string): boolean {
    const slots = this._fleet.listAvailable(service).map(upstream => upstream.member.slots)
    return (this._openByService.get(service) ?? 0) < maxOpenRewards(slots)
  }

  private async _try (pending: PendingReward, target: RewardTarget): Promise<void> {
    const { service, route } = target
    const startedAtMs = performance.now()
    pending.isOpen = true
    this._openByService.set(service, (this._openByService.get(service) ?? 0) + 1)
    const outcome = await this._client.send(pending.call, target, pending.deadlineAtMs, pending.controller.signal).finally(() => {
      this._openByService.set(service, (this._openByService.get(service) ?? 1) - 1)
      pending.isOpen = false
    })
    pending.maxFailures = Math.max(pending.maxFailures, route.maxAttempts)
    this._metrics.duration('reward_call', performance.now() - startedAtMs, { outcome: outcome.kind })
    if (this._pending.get(pending.state) === pending) this._onTryEnded(pending, outcome)
    this.startDue()
  }

  private _onTryEnded (pending: PendingReward, outcome: RewardOutcome): void {
    this._metrics.count('reward_calls', { outcome: outcome.kind })
    if (outcome.kind === 'scored') {
      this._logIfLate(pending)
      this._finish(pending, outcome.score)
      return
    }
    pending.failures += outcome.kind === 'failed' ? outcome.failures : 0
    this._onTryFailed(pending, outcome.kind, 'reason' in outcome ? outcome.reason : undefined)
    if (outcome.kind === 'not_run') pending.notBeforeMs = Math.max(pending.notBeforeMs, performance.now() + outcome.retryAfterMs)
  }

  /** Aborts the item if the reward service has failed too often; otherwise the call is tried again later. */
  private _onTryFailed (pending: PendingReward, outcome: string, reason?: string): void {
    pending.tries += 1
    this._logger.warn({ ...describe(pending), outcome, reason }, 'reward_call_failed')
    if (pending.failures >= pending.maxFailures) this._finish(pending, undefined)
    else pending.notBeforeMs = performance.now() + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (pending.tries - 1))
  }

  private _logIfLate (pending: PendingReward): void {
    const durationMs = performance.now() - pending.startedAtMs
    if (durationMs > LATE_REWARD_MS) this._logger.info({ ...describe(pending), duration_ms: Math.round(durationMs) }, 'reward_late')
  }

  private _finish (pending: PendingReward, score: string | undefined): void {
    this._remove(pending)
    this._onEnd(pending.batch, pending.state, score)
  }

  private _remove (pending: PendingReward): void {
    this._pending.delete(pending.state)
    pending.controller.abort()
  }
}

/** Log fields of a reward call. */
function describe ({ batch, state, call, tries, failures }: PendingReward): Record<string, unknown> {
  return { batch: batch.spec.id, item: state.item.id, request: call.id, tries, failures }
}

import { Backoff } from '../kernel/Backoff.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { ILeadership } from '../store/ILeadership.js'
import type { IContributionSender } from './IContributionSender.js'
import type { MeteredWindow } from './MeteredWindow.js'
import type { UsageContribution } from './UsageContribution.js'
import type { UsageMeter } from './UsageMeter.js'
import type { UsageReceipt } from './UsageReceipt.js'
import type { UsageSchedule } from './UsageSchedule.js'

/** Bounds a message; further windows follow with the next one. */
const MAX_WINDOWS_PER_PUSH = 12
const FLUSH_INTERVAL_MS = 100
/** A receipt that took longer says too little about the holder's time. */
const MAX_ROUND_TRIP_MS = 500

interface SentWindow {
  /** Term of the holder that took or rejected the counts. */
  epoch: number
  isRejected: boolean
}

/** Sends the counts of this entry to the holder of the usage reports until they are committed. */
export class UsageContributor {
  private readonly _sent = new Map<number, SentWindow>()
  private readonly _backoff: Backoff
  private readonly _process = `${Date.now().toString(36)}-${Math.random().toString(36).slice(2, 10)}`
  private readonly _jitterMs: number
  private _nextPushAtMs = Number.NEGATIVE_INFINITY
  private _knownEpoch?: number
  /** The push whose receipt has not arrived; never rejects. */
  private _pushing?: Promise<void>

  constructor (
    private readonly _entryId: string,
    private readonly _meter: UsageMeter,
    private readonly _schedule: UsageSchedule,
    private readonly _leadership: ILeadership,
    private readonly _sender: IContributionSender,
    private readonly _logger: ILogger
  ) {
    this._backoff = new Backoff(_schedule.maxRetryMs)
    this._jitterMs = Math.random() * _schedule.maxPushJitterMs
  }

  /** Has to be called several times per second. */
  tick (): void {
    this._meter.dropExpired()
    for (const window of this._sent.keys()) if (this._meter.find(window) === undefined) this._sent.delete(window)
    this._observeEpoch()
    if (this._pushing !== undefined || performance.now() < this._nextPushAtMs) return
    const endedBeforeMs = this._meter.nowUnixMs() - this._schedule.pushDelayMs - this._jitterMs
    this._startPush(window => this._schedule.endOf(window) <= endedBeforeMs)
  }

  /** Sends all counts, also those of the present window, repeatedly until they are taken or the time has passed. */
  async flush (timeoutMs: number): Promise<void> {
    const untilMs = performance.now() + timeoutMs
    // The entry has responded to their callers that they may have run.
    this._meter.settlePending()
    let timer: NodeJS.Timeout | undefined
    const expired = new Promise<void>(resolve => { timer = setTimeout(resolve, timeoutMs) })
    // A receipt that arrives after that of a later push would replace the newer result.
    await Promise.race([this._pushing, expired])
    while (performance.now() < untilMs && this._meter.windows().some(window => this._isDue(window))) {
      if (this._pushing === undefined) this._startPush(() => true)
      await Promise.race([this._pushing, expired])
      await new Promise(resolve => setTimeout(resolve, FLUSH_INTERVAL_MS))
    }
    clearTimeout(timer)
  }

  private _startPush (mayBeSent: (window: number) => boolean): void {
    this._pushing = this._push(mayBeSent)
      .catch((fault: unknown) => this._logger.error({ reason: String(fault) }, 'usage_push_fault'))
      .finally(() => { this._pushing = undefined })
  }

  /** After a change of the leader, the entries send again what is not committed, spread over some time. */
  private _observeEpoch (): void {
    const epoch = this._leadership.latestKnownEpoch
    if (epoch === this._knownEpoch) return
    this._knownEpoch = epoch
    this._backoff.reset()
    this._nextPushAtMs = performance.now() + this._jitterMs
  }

  private async _push (mayBeSent: (window: number) => boolean): Promise<void> {
    const due = this._meter.windows().filter(window => mayBeSent(window.window) && this._isDue(window)).slice(-MAX_WINDOWS_PER_PUSH)
    if (due.length === 0) return
    const revisions = new Map(due.map(({ window, revision }) => [window, revision]))
    const sentAtUnixMs = Date.now()
    const contribution: UsageContribution = {
      entry: this._entryId,
      process: this._process,
      sentAtUnixMs,
      windows: due.map(({ window, counts }) => ({ window, counts: Object.fromEntries(counts) })),
      unconfirmed: [...this._sent.keys()].filter(window => !revisions.has(window))
    }
    const receipt = await this._sender.send(contribution)
    if (receipt === undefined) this._onFailed(due.length)
    else this._onReceipt(receipt, revisions, sentAtUnixMs)
  }

  private _isDue ({ window, revision, takenRevision }: MeteredWindow): boolean {
    const sent = this._sent.get(window)
    return sent === undefined || (!sent.isRejected && takenRevision !== revision) || sent.epoch < (this._leadership.latestKnownEpoch ?? Number.NEGATIVE_INFINITY)
  }

  private _onFailed (windows: number): void {
    const delayMs = this._backoff.nextDelayMs()
    this._nextPushAtMs = performance.now() + delayMs
    this._logger.warn({ leader: this._leadership.leaderAddress(), windows, retry_in_ms: Math.round(delayMs) }, 'usage_push_failed')
  }

  private _onReceipt (receipt: UsageReceipt, revisions: ReadonlyMap<number, number>, sentAtUnixMs: number): void {
    const roundTripMs = Date.now() - sentAtUnixMs
    if (roundTripMs >= 0 && roundTripMs <= MAX_ROUND_TRIP_MS) this._meter.adoptTime(receipt.unixMs + roundTripMs / 2)
    const decided = new Set([...receipt.taken, ...receipt.refused, ...receipt.committed])
    for (const [window, revision] of revisions) {
      const isRejected = receipt.refused.includes(window)
      if (!isRejected && !receipt.taken.includes(window)) continue
      // A holder that rejects a window has the counts that it took before, but none that an earlier holder took.
      if (!isRejected) this._meter.recordTaken(window, revision)
      else if (this._sent.get(window)?.epoch !== receipt.epoch) this._meter.recordTaken(window, 0)
      this._sent.set(window, { epoch: receipt.epoch, isRejected })
    }
    for (const window of receipt.committed) this._onCommitted(window, receipt.epoch)
    const undecided = [...revisions.keys()].filter(window => !decided.has(window)).length
    if (undecided > 0) this._onFailed(undecided)
    else this._backoff.reset()
  }

  private _onCommitted (window: number, epoch: number): void {
    const counted = this._meter.find(window)
    // What the report lacks is logged, so that a report that is too low can be explained.
    if (counted !== undefined && counted.revision !== counted.takenRevision) {
      this._logger.warn({ window, epoch, requests: counted.revision, requests_taken: counted.takenRevision }, 'usage_counts_late')
    }
    this._sent.delete(window)
    this._meter.remove(window)
  }
}

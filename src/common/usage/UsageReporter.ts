import type { DutyHolder } from '../duty/DutyHolder.js'
import type { IDutyClient } from '../duty/IDutyClient.js'
import { Backoff } from '../kernel/Backoff.js'
import { Disposable } from '../kernel/Disposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { UsageClock } from './UsageClock.js'
import type { UsageCollector } from './UsageCollector.js'
import { UsageCommitter } from './UsageCommitter.js'
import type { UsageContribution } from './UsageContribution.js'
import type { UsageLedger } from './UsageLedger.js'
import { UsageOutages } from './UsageOutages.js'
import type { UsageReceipt } from './UsageReceipt.js'
import { UsageReportLog } from './UsageReportLog.js'
import type { UsageSchedule } from './UsageSchedule.js'
import { UsageSender } from './UsageSender.js'
import type { UsageWindow } from './UsageWindow.js'
import { UsageWindowCloser } from './UsageWindowCloser.js'

const MAX_RESTORE_BACKOFF_MS = 1000

interface ReporterIdentity { entryId: string, epoch: number }

/** Takes the counts of the entries during one term of the leader, and has the reports of due windows committed and sent. */
export class UsageReporter extends Disposable {
  private readonly _log: UsageReportLog
  private readonly _outages: UsageOutages
  private readonly _committer: UsageCommitter
  private readonly _closer: UsageWindowCloser
  private readonly _sender: UsageSender
  private _isRestored = false
  private _isEnded = false

  constructor (
    private readonly _identity: ReporterIdentity,
    private readonly _schedule: UsageSchedule,
    private readonly _ledger: UsageLedger,
    private readonly _collector: UsageCollector,
    private readonly _clock: UsageClock,
    private readonly _duty: { holder: DutyHolder, client: IDutyClient },
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    _clock.restart()
    this._log = new UsageReportLog(_identity.epoch, _schedule, _clock, _logger, _metrics)
    this._outages = new UsageOutages(_schedule, _clock)
    this._committer = this._register(new UsageCommitter(_ledger, this._log))
    this._closer = new UsageWindowCloser(_schedule, _ledger, _collector, this._committer, this._log)
    this._sender = new UsageSender(_identity.entryId, _schedule, _ledger, _duty, this._log)
    this._register(_ledger)
    this._register({ dispose: () => this._onEnded() })
    this._restore().catch((fault: unknown) => this._log.onFault(fault))
  }

  get epoch (): number {
    return this._identity.epoch
  }

  /** Takes the counts of an entry, and tells it which of its windows are committed; undefined while the time is unknown. */
  accept (contribution: UsageContribution): UsageReceipt | undefined {
    if (contribution.entry !== this._identity.entryId) this._clock.observe(contribution.entry, contribution.sentAtUnixMs)
    if (!this._clock.isSettled()) return undefined
    const unixMs = this._clock.nowUnixMs()
    const receipt: UsageReceipt = { epoch: this.epoch, sentAtUnixMs: contribution.sentAtUnixMs, unixMs, taken: [], committed: [], refused: [] }
    for (const window of contribution.unconfirmed) if (this._ledger.isCommitted(window)) receipt.committed.push(window)
    for (const counts of contribution.windows) this._acceptWindow(contribution, counts, receipt)
    return receipt
  }

  /** Has to be called several times per second. `isAccepting`: whether entries can send their counts to this one. */
  tick (isAccepting: boolean): void {
    const token = this._duty.holder.token()
    this._outages.observe(performance.now(), isAccepting)
    if (this._isEnded || !this._isRestored) return
    const nowUnixMs = this._clock.nowUnixMs()
    this._collector.removeExpired(nowUnixMs)
    this._sender.abandonExpired(nowUnixMs)
    if (this._outages.mayClose()) this._closer.closeDue(nowUnixMs)
    this._committer.commitNext()
    if (token === this.epoch) this._sender.sendNext(token, nowUnixMs)
    this._metrics.gauge('usage_reports_waiting', this._committer.pendingCount + this._ledger.unsent().length)
  }

  private _acceptWindow (contribution: UsageContribution, counts: UsageWindow, receipt: UsageReceipt): void {
    const { window } = counts
    if (this._ledger.isCommitted(window)) {
      receipt.committed.push(window)
      return
    }
    const outcome = this._committer.isPending(window) ? 'refused' : this._collector.add(contribution, counts, receipt.unixMs)
    if (outcome === 'taken') receipt.taken.push(window)
    else if (outcome === 'refused') receipt.refused.push(window)
    this._metrics.count('usage_contributions', { outcome })
    if (outcome !== 'taken') this._logger.warn({ from: contribution.entry, window, outcome, current: this._schedule.windowAt(receipt.unixMs) }, 'usage_contribution_not_taken')
  }

  private _onEnded (): void {
    this._isEnded = true
    this._metrics.gauge('usage_reports_waiting', 0)
  }

  private async _restore (): Promise<void> {
    const backoff = new Backoff(MAX_RESTORE_BACKOFF_MS)
    while (!this._isEnded) {
      const opened = await this._ledger.open()
      if (opened.isOk()) {
        for (const window of this._ledger.windows()) this._collector.discard(window)
        this._isRestored = true
        return
      }
      if (this._isEnded) return
      this._log.onRestoreFailed(opened.error.message)
      if (opened.error.kind === 'fenced') return
      await new Promise(resolve => setTimeout(resolve, backoff.nextDelayMs()))
    }
  }
}

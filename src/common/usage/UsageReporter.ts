import type { DutyHolder } from '../duty/DutyHolder.js'
import type { DutyOutcome } from '../duty/DutyOutcome.js'
import type { IDutyClient } from '../duty/IDutyClient.js'
import type { UsageReport } from '../duty/UsageReport.js'
import { Backoff } from '../kernel/Backoff.js'
import { Disposable } from '../kernel/Disposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { UsageClock } from './UsageClock.js'
import type { UsageCollector } from './UsageCollector.js'
import type { UsageContribution } from './UsageContribution.js'
import type { UsageLedger } from './UsageLedger.js'
import type { UsageReceipt } from './UsageReceipt.js'
import type { UsageSchedule } from './UsageSchedule.js'

const REPORTS_METRIC = 'usage_reports'
/** Longer than a busy host delays a timer. */
const MAX_TICK_GAP_MS = 1000
const MAX_RESTORE_BACKOFF_MS = 1000
const COMMIT_RETRY_MS = 500
/** Longest pause between two attempts; a report is due within few seconds after its commit. */
const MAX_SEND_BACKOFF_MS = 2000
/** Reports committed in one append. */
const MAX_COMMITTED = 12

interface ReporterIdentity { entryId: string, epoch: number }

/** Commits and sends the usage reports during one term of the leader. */
export class UsageReporter extends Disposable {
  /** Reports that are being committed. Their counts no longer change. */
  private readonly _uncommitted = new Map<number, UsageReport>()
  private readonly _sendAttempts = new Map<number, number>()
  private readonly _sendBackoff = new Backoff(MAX_SEND_BACKOFF_MS)
  private _nextWindow?: number
  private _lastTickAtMs = performance.now()
  /** Since when entries cannot send their counts to this one. */
  private _outageSinceMs?: number
  /** Entries had time to send what they have kept for this holder once this time has come. */
  private _mayCloseAtMs: number
  private _nextSendAtMs = Number.NEGATIVE_INFINITY
  private _nextCommitAtMs = Number.NEGATIVE_INFINITY
  private _isRestored = false
  private _isCommitting = false
  private _isSending = false
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
    this._mayCloseAtMs = performance.now() + _schedule.gatherMs
    _clock.restart()
    this._register(_ledger)
    this._register({ dispose: () => this._onEnded() })
    this._restore().catch((fault: unknown) => this._logFault(fault))
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
    for (const counts of contribution.windows) {
      const { window } = counts
      if (this._ledger.isCommitted(window)) {
        receipt.committed.push(window)
        continue
      }
      const outcome = this._uncommitted.has(window) ? 'refused' : this._collector.add(contribution, counts, unixMs)
      if (outcome === 'taken') receipt.taken.push(window)
      else if (outcome === 'refused') receipt.refused.push(window)
      this._metrics.count('usage_contributions', { outcome })
      if (outcome !== 'taken') this._logger.warn({ from: contribution.entry, window, outcome, current: this._schedule.windowAt(unixMs) }, 'usage_contribution_not_taken')
    }
    return receipt
  }

  /** Has to be called several times per second. `isAccepting`: whether entries can send their counts to this one. */
  tick (isAccepting: boolean): void {
    const token = this._duty.holder.token()
    const nowMs = performance.now()
    this._observeOutages(nowMs, isAccepting)
    if (this._isEnded || !this._isRestored) return
    const nowUnixMs = this._clock.nowUnixMs()
    this._collector.removeExpired(nowUnixMs)
    this._abandonExpired(nowUnixMs)
    this._closeDueWindows(nowUnixMs)
    this._commitClosed()
    if (token === this.epoch) this._sendNext(token, nowUnixMs)
    this._metrics.gauge('usage_reports_waiting', this._uncommitted.size + this._ledger.unsent().length)
  }

  /** Delays the closing of windows until entries had time to send what they could not send before. */
  private _observeOutages (nowMs: number, isAccepting: boolean): void {
    // After a freeze, contributions that arrived meanwhile have not been processed yet.
    const isReachable = isAccepting && nowMs - this._lastTickAtMs <= MAX_TICK_GAP_MS
    this._outageSinceMs = isReachable ? undefined : this._outageSinceMs ?? this._lastTickAtMs
    const outageDelayMs = this._outageSinceMs === undefined ? 0 : this._schedule.gatherMsAfter(nowMs - this._outageSinceMs)
    const clockDelayMs = this._clock.isSettled() ? 0 : this._schedule.settleMs
    this._mayCloseAtMs = Math.max(this._mayCloseAtMs, nowMs + outageDelayMs, nowMs + clockDelayMs)
    this._lastTickAtMs = nowMs
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
      this._logger.warn({ epoch: this.epoch, reason: opened.error.message }, 'usage_restore_failed')
      if (opened.error.kind === 'fenced') return
      await new Promise(resolve => setTimeout(resolve, backoff.nextDelayMs()))
    }
  }

  /** Fixes the counts of the windows whose entries had time to send theirs. */
  private _closeDueWindows (nowUnixMs: number): void {
    if (performance.now() < this._mayCloseAtMs) return
    const oldest = this._schedule.oldestAt(nowUnixMs)
    let window = this._nextWindow ?? this._selectFirstWindow(nowUnixMs)
    // The clock was corrected backwards, and the windows that it skipped have to be covered.
    if (window > this._schedule.windowAt(nowUnixMs) + 1) window = this._schedule.oldestInTimeAt(nowUnixMs)
    if (window < oldest) {
      this._logger.error({ windows: oldest - window, first: window }, 'usage_windows_missed')
      window = oldest
    }
    for (; this._schedule.endOf(window) + this._schedule.commitDelayMs <= nowUnixMs; window++) {
      if (this._ledger.isCommitted(window) || this._uncommitted.has(window)) continue
      const { counts, contributors } = this._collector.close(window)
      this._uncommitted.set(window, { window, counts })
      this._logger.info({ window, contributors }, 'usage_window_closed')
    }
    this._nextWindow = window
  }

  /** Covers the time before this term, but not that before the first holder. */
  private _selectFirstWindow (nowUnixMs: number): number {
    const firstCovered = this._ledger.oldestWindow ?? this._schedule.oldestInTimeAt(nowUnixMs)
    return Math.max(this._schedule.oldestAt(nowUnixMs), Math.min(firstCovered, this._collector.oldestWindow ?? Number.POSITIVE_INFINITY))
  }

  private _commitClosed (): void {
    if (this._isCommitting || this._uncommitted.size === 0 || performance.now() < this._nextCommitAtMs) return
    this._isCommitting = true
    this._commit([...this._uncommitted.values()].slice(0, MAX_COMMITTED))
      .catch((fault: unknown) => this._logFault(fault))
      .finally(() => { this._isCommitting = false })
  }

  private async _commit (reports: readonly UsageReport[]): Promise<void> {
    const committed = await this._ledger.commit(reports)
    if (committed.isErr()) {
      this._nextCommitAtMs = performance.now() + COMMIT_RETRY_MS
      if (!this._isEnded) this._logger.error({ first: reports[0]?.window, windows: reports.length, reason: committed.error.message }, 'usage_commit_failed')
      return
    }
    for (const { window, counts } of reports) {
      this._uncommitted.delete(window)
      this._metrics.count(REPORTS_METRIC, { outcome: 'committed' })
      this._logger.info({ window, organisations: Object.keys(counts).length, total: sum(counts), age_ms: this._ageMs(window) }, 'usage_report_committed')
    }
  }

  private _sendNext (token: number, nowUnixMs: number): void {
    if (this._isSending || performance.now() < this._nextSendAtMs) return
    const report = this._selectReport(nowUnixMs)
    if (report === undefined) return
    this._isSending = true
    this._send(report, token)
      .catch((fault: unknown) => this._logFault(fault))
      .finally(() => { this._isSending = false })
  }

  private _abandonExpired (nowUnixMs: number): void {
    const oldest = this._schedule.oldestAt(nowUnixMs)
    for (const { window } of this._ledger.unsent()) {
      if (window >= oldest) break
      this._ledger.complete(window, 'abandoned')
      this._logOutcome(window, 'abandoned')
      this._sendAttempts.delete(window)
    }
  }

  /** A report that is not overdue comes before those that are; repeated ones do not hold up the others. */
  private _selectReport (nowUnixMs: number): UsageReport | undefined {
    // A holder whose clock was ahead may have committed windows that have not ended.
    const reports = this._ledger.unsent().filter(({ window }) => this._schedule.endOf(window) <= nowUnixMs)
    const isOverdue = ({ window }: UsageReport): number => this._schedule.endOf(window) + this._schedule.lateMs < nowUnixMs ? 1 : 0
    const attempts = ({ window }: UsageReport): number => this._sendAttempts.get(window) ?? 0
    return reports.sort((a, b) => isOverdue(a) - isOverdue(b) || attempts(a) - attempts(b) || a.window - b.window)[0]
  }

  private async _send (report: UsageReport, token: number): Promise<void> {
    const { window } = report
    this._sendAttempts.set(window, (this._sendAttempts.get(window) ?? 0) + 1)
    const outcome = await this._reportOnce(report, token)
    switch (outcome) {
      case 'accepted':
        this._sendBackoff.reset()
        this._logOutcome(window, 'sent')
        this._sendAttempts.delete(window)
        this._ledger.complete(window, 'sent')
        return
      case 'fenced':
        this._duty.holder.stopTerm(token)
        this._logOutcome(window, 'refused')
        return
      case 'retry':
        this._nextSendAtMs = performance.now() + this._sendBackoff.nextDelayMs()
        this._logOutcome(window, 'retried')
    }
  }

  private async _reportOnce (report: UsageReport, token: number): Promise<DutyOutcome> {
    try {
      return await this._duty.client.reportUsage(report, this._identity.entryId, token)
    } catch (fault) {
      this._logFault(fault)
      return 'retry'
    }
  }

  private _logOutcome (window: number, outcome: 'sent' | 'refused' | 'retried' | 'abandoned'): void {
    this._metrics.count(REPORTS_METRIC, { outcome })
    const fields = { window, token: this.epoch, attempts: this._sendAttempts.get(window) ?? 0, age_ms: this._ageMs(window) }
    if (outcome === 'sent') this._logger.info(fields, 'usage_report_sent')
    else this._logger.warn(fields, `usage_report_${outcome}`)
  }

  private _ageMs (window: number): number {
    return Math.round(this._clock.nowUnixMs() - this._schedule.endOf(window))
  }

  private _logFault (fault: unknown): void {
    this._logger.error({ epoch: this.epoch, reason: String(fault) }, 'usage_reporter_fault')
  }
}

function sum (counts: Record<string, number>): number {
  return Object.values(counts).reduce((total, count) => total + count, 0)
}

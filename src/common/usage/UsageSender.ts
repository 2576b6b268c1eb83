import type { DutyHolder } from '../duty/DutyHolder.js'
import type { DutyOutcome } from '../duty/DutyOutcome.js'
import type { IDutyClient } from '../duty/IDutyClient.js'
import type { UsageReport } from '../duty/UsageReport.js'
import { Backoff } from '../kernel/Backoff.js'
import type { UsageLedger } from './UsageLedger.js'
import type { UsageReportLog } from './UsageReportLog.js'
import type { UsageSchedule } from './UsageSchedule.js'

/** Longest pause between two attempts; a report is due within few seconds after its commit. */
const MAX_BACKOFF_MS = 2000

/** Sends committed reports to the platform, one at a time. */
export class UsageSender {
  private readonly _attempts = new Map<number, number>()
  private readonly _backoff = new Backoff(MAX_BACKOFF_MS)
  private _nextAttemptAtMs = Number.NEGATIVE_INFINITY
  private _isSending = false

  constructor (
    private readonly _entryId: string,
    private readonly _schedule: UsageSchedule,
    private readonly _ledger: UsageLedger,
    private readonly _duty: { holder: DutyHolder, client: IDutyClient },
    private readonly _log: UsageReportLog
  ) {}

  /** Sends the next report, unless one is being sent or the pause after a failure has not passed. */
  sendNext (token: number, nowUnixMs: number): void {
    if (this._isSending || performance.now() < this._nextAttemptAtMs) return
    const report = this._selectReport(nowUnixMs)
    if (report === undefined) return
    this._isSending = true
    this._send(report, token)
      .catch((fault: unknown) => this._log.onFault(fault))
      .finally(() => { this._isSending = false })
  }

  /** Gives up the reports that are too old to be sent. */
  abandonExpired (nowUnixMs: number): void {
    const oldest = this._schedule.oldestAt(nowUnixMs)
    for (const { window } of this._ledger.unsent()) {
      if (window >= oldest) break
      this._ledger.complete(window, 'abandoned')
      this._log.onAttempted(window, 'abandoned', this._attemptsOf(window))
      this._attempts.delete(window)
    }
  }

  /** A report that is not overdue comes before those that are; repeated ones do not hold up the others. */
  private _selectReport (nowUnixMs: number): UsageReport | undefined {
    // A holder whose clock was ahead may have committed windows that have not ended.
    const reports = this._ledger.unsent().filter(({ window }) => this._schedule.endOf(window) <= nowUnixMs)
    const isOverdue = ({ window }: UsageReport): number => this._schedule.endOf(window) + this._schedule.lateMs < nowUnixMs ? 1 : 0
    return reports.sort((a, b) => isOverdue(a) - isOverdue(b) || this._attemptsOf(a.window) - this._attemptsOf(b.window) || a.window - b.window)[0]
  }

  private async _send (report: UsageReport, token: number): Promise<void> {
    const { window } = report
    this._attempts.set(window, this._attemptsOf(window) + 1)
    const outcome = await this._sendOnce(report, token)
    switch (outcome) {
      case 'accepted':
        this._backoff.reset()
        this._log.onAttempted(window, 'sent', this._attemptsOf(window))
        this._attempts.delete(window)
        this._ledger.complete(window, 'sent')
        return
      case 'fenced':
        this._duty.holder.stopTerm(token)
        this._log.onAttempted(window, 'refused', this._attemptsOf(window))
        return
      case 'retry':
        this._nextAttemptAtMs = performance.now() + this._backoff.nextDelayMs()
        this._log.onAttempted(window, 'retried', this._attemptsOf(window))
    }
  }

  private async _sendOnce (report: UsageReport, token: number): Promise<DutyOutcome> {
    try {
      return await this._duty.client.reportUsage(report, this._entryId, token)
    } catch (fault) {
      this._log.onFault(fault)
      return 'retry'
    }
  }

  private _attemptsOf (window: number): number {
    return this._attempts.get(window) ?? 0
  }
}

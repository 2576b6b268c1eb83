import type { UsageReport } from '../duty/UsageReport.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { UsageClock } from './UsageClock.js'
import type { UsageSchedule } from './UsageSchedule.js'

const REPORTS_METRIC = 'usage_reports'

/** Log lines and counts of the usage reports of one term. */
export class UsageReportLog {
  constructor (
    private readonly _epoch: number,
    private readonly _schedule: UsageSchedule,
    private readonly _clock: UsageClock,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {}

  onClosed (window: number, contributors: number): void {
    this._logger.info({ window, contributors }, 'usage_window_closed')
  }

  onMissed (first: number, windows: number): void {
    this._logger.error({ windows, first }, 'usage_windows_missed')
  }

  onCommitted ({ window, counts }: UsageReport): void {
    this._metrics.count(REPORTS_METRIC, { outcome: 'committed' })
    this._logger.info({ window, organisations: Object.keys(counts).length, total: sum(counts), age_ms: this._ageMs(window) }, 'usage_report_committed')
  }

  onCommitFailed (reports: readonly UsageReport[], reason: string): void {
    this._logger.error({ first: reports[0]?.window, windows: reports.length, reason }, 'usage_commit_failed')
  }

  onAttempted (window: number, outcome: 'sent' | 'refused' | 'retried' | 'abandoned', attempts: number): void {
    this._metrics.count(REPORTS_METRIC, { outcome })
    const fields = { window, token: this._epoch, attempts, age_ms: this._ageMs(window) }
    if (outcome === 'sent') this._logger.info(fields, 'usage_report_sent')
    else this._logger.warn(fields, `usage_report_${outcome}`)
  }

  onRestoreFailed (reason: string): void {
    this._logger.warn({ epoch: this._epoch, reason }, 'usage_restore_failed')
  }

  onFault (fault: unknown): void {
    this._logger.error({ epoch: this._epoch, reason: String(fault) }, 'usage_reporter_fault')
  }

  private _ageMs (window: number): number {
    return Math.round(this._clock.nowUnixMs() - this._schedule.endOf(window))
  }
}

function sum (counts: Record<string, number>): number {
  return Object.values(counts).reduce((total, count) => total + count, 0)
}

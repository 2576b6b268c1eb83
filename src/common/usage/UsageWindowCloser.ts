import type { UsageCollector } from './UsageCollector.js'
import type { UsageCommitter } from './UsageCommitter.js'
import type { UsageLedger } from './UsageLedger.js'
import type { UsageReportLog } from './UsageReportLog.js'
import type { UsageSchedule } from './UsageSchedule.js'

/** Fixes the counts of one window after the other and passes them to the committer. */
export class UsageWindowCloser {
  private _nextWindow?: number

  constructor (
    private readonly _schedule: UsageSchedule,
    private readonly _ledger: UsageLedger,
    private readonly _collector: UsageCollector,
    private readonly _committer: UsageCommitter,
    private readonly _log: UsageReportLog
  ) {}

  /** Closes the windows whose time to be committed has come. */
  closeDue (nowUnixMs: number): void {
    const oldest = this._schedule.oldestAt(nowUnixMs)
    let window = this._nextWindow ?? this._selectFirstWindow(nowUnixMs)
    // The clock was corrected backwards, and the windows that it skipped have to be covered.
    if (window > this._schedule.windowAt(nowUnixMs) + 1) window = this._schedule.oldestInTimeAt(nowUnixMs)
    if (window < oldest) {
      this._log.onMissed(window, oldest - window)
      window = oldest
    }
    for (; this._schedule.endOf(window) + this._schedule.commitDelayMs <= nowUnixMs; window++) {
      if (this._ledger.isCommitted(window) || this._committer.isPending(window)) continue
      const { counts, contributors } = this._collector.close(window)
      this._committer.add({ window, counts })
      this._log.onClosed(window, contributors)
    }
    this._nextWindow = window
  }

  /** Covers the time before this term, but not that before the first holder. */
  private _selectFirstWindow (nowUnixMs: number): number {
    const firstCovered = this._ledger.oldestWindow ?? this._schedule.oldestInTimeAt(nowUnixMs)
    return Math.max(this._schedule.oldestAt(nowUnixMs), Math.min(firstCovered, this._collector.oldestWindow ?? Number.POSITIVE_INFINITY))
  }
}

import type { UsageReport } from '../duty/UsageReport.js'
import type { IDisposable } from '../kernel/IDisposable.js'
import type { UsageLedger } from './UsageLedger.js'
import type { UsageReportLog } from './UsageReportLog.js'

const RETRY_DELAY_MS = 500
/** Reports committed in one append. */
const MAX_COMMITTED = 12

/** Makes the counts of closed windows durable. */
export class UsageCommitter implements IDisposable {
  /** Reports that are being committed. Their counts no longer change. */
  private readonly _pending = new Map<number, UsageReport>()
  private _nextAttemptAtMs = Number.NEGATIVE_INFINITY
  private _isCommitting = false
  private _isDisposed = false

  constructor (private readonly _ledger: UsageLedger, private readonly _log: UsageReportLog) {}

  get pendingCount (): number {
    return this._pending.size
  }

  /** Whether a window is closed but not committed. */
  isPending (window: number): boolean {
    return this._pending.has(window)
  }

  add (report: UsageReport): void {
    this._pending.set(report.window, report)
  }

  /** Commits the reports added first, unless a commit is in progress or has failed just now. */
  commitNext (): void {
    if (this._isCommitting || this._pending.size === 0 || performance.now() < this._nextAttemptAtMs) return
    this._isCommitting = true
    this._commit([...this._pending.values()].slice(0, MAX_COMMITTED))
      .catch((fault: unknown) => this._log.onFault(fault))
      .finally(() => { this._isCommitting = false })
  }

  dispose (): void {
    this._isDisposed = true
  }

  private async _commit (reports: readonly UsageReport[]): Promise<void> {
    const committed = await this._ledger.commit(reports)
    if (committed.isErr()) {
      this._nextAttemptAtMs = performance.now() + RETRY_DELAY_MS
      if (!this._isDisposed) this._log.onCommitFailed(reports, committed.error.message)
      return
    }
    for (const report of reports) {
      this._pending.delete(report.window)
      this._log.onCommitted(report)
    }
  }
}

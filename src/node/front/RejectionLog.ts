import type { ILogger } from '../../common/metrics/ILogger.js'
import type { IMetrics } from '../../common/metrics/IMetrics.js'
import type { ListenerName } from './ListenerName.js'
import type { RejectionReason } from './RejectionReason.js'

const LOG_INTERVAL_MS = 1000

/** Counts rejected clients by reason, and logs the counts at most once a second: rejections come by the thousand. */
export class RejectionLog {
  private readonly _counts = new Map<RejectionReason, number>()
  private _loggedAtMs = -Infinity

  constructor (private readonly _listener: ListenerName, private readonly _logger: ILogger, private readonly _metrics: IMetrics) {}

  record (reason: RejectionReason): void {
    this._metrics.count('client_rejections', { listener: this._listener, reason })
    this._counts.set(reason, (this._counts.get(reason) ?? 0) + 1)
  }

  /** Logs what was recorded since the last line, if that is long enough ago. */
  flush (nowMs: number): void {
    if (this._counts.size === 0 || nowMs < this._loggedAtMs + LOG_INTERVAL_MS) return
    this._loggedAtMs = nowMs
    for (const [reason, count] of this._counts) this._logger.warn({ listener: this._listener, reason, count }, 'clients_rejected')
    this._counts.clear()
  }
}

import { Disposable } from '../kernel/Disposable.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogger } from './ILogger.js'

/** Lines a second that a process may write; a second budget of the same size is kept for warnings and errors. */
const LINES_PER_S = 150
const BURST_LINES = 600
/** Lines beyond this are dropped when nobody reads them, so that memory stays bounded. */
const MAX_BACKLOG_BYTES = 1_000_000
const REFILL_INTERVAL_MS = 1000

type Level = keyof ILogger

/** Bounds the volume of a log. Lines beyond the budget are counted, and the count is written. */
export class LimitedLogger extends Disposable implements ILogger {
  private readonly _left = { routine: BURST_LINES, urgent: BURST_LINES }
  private _dropped = 0

  /** `backlogBytes` tells how much waits for a slow reader of the output. */
  constructor (private readonly _logger: ILogger, private readonly _backlogBytes: () => number = () => 0) {
    super()
    const timer = setInterval(() => this._refill(), REFILL_INTERVAL_MS)
    this._register(toDisposable(() => clearInterval(timer)))
  }

  info (fields: Record<string, unknown>, event: string): void { this._write('info', 'routine', fields, event) }
  debug (fields: Record<string, unknown>, event: string): void { this._write('debug', 'routine', fields, event) }
  warn (fields: Record<string, unknown>, event: string): void { this._write('warn', 'urgent', fields, event) }
  error (fields: Record<string, unknown>, event: string): void { this._write('error', 'urgent', fields, event) }

  private _write (level: Level, budget: 'routine' | 'urgent', fields: Record<string, unknown>, event: string): void {
    if (this._left[budget] <= 0 || this._backlogBytes() > MAX_BACKLOG_BYTES) {
      this._dropped += 1
      return
    }
    this._left[budget] -= 1
    this._logger[level](fields, event)
  }

  private _refill (): void {
    this._left.routine = Math.min(BURST_LINES, this._left.routine + LINES_PER_S)
    this._left.urgent = Math.min(BURST_LINES, this._left.urgent + LINES_PER_S)
    if (this._dropped > 0) this._logger.warn({ lines: this._dropped }, 'log_lines_dropped')
    this._dropped = 0
  }
}

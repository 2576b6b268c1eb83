import { Disposable } from '../kernel/Disposable.js'
import { startInterval } from '../kernel/startInterval.js'
import type { ILogger } from './ILogger.js'

/** Sustained rate of info and debug lines of a process. Warnings and errors have a separate budget of the same size. */
const LINES_PER_S = 150
const BURST_LINES = 600
/** Lines are dropped while more output than this is waiting for a slow reader, to bound memory. */
const MAX_BACKLOG_BYTES = 1_000_000
const REFILL_INTERVAL_MS = 1000

type Level = keyof ILogger

/** Rate-limits log output. Lines that exceed the budget are dropped, and their number is logged at the next refill. */
export class LimitedLogger extends Disposable implements ILogger {
  private readonly _remainingLines = { routine: BURST_LINES, urgent: BURST_LINES }
  private _droppedLines = 0

  /** `backlogBytes` returns the size of the output that is waiting for a slow reader. */
  constructor (private readonly _logger: ILogger, private readonly _backlogBytes: () => number = () => 0) {
    super()
    this._register(startInterval(() => this._refill(), REFILL_INTERVAL_MS))
  }

  info (fields: Record<string, unknown>, event: string): void { this._write('info', 'routine', fields, event) }
  debug (fields: Record<string, unknown>, event: string): void { this._write('debug', 'routine', fields, event) }
  warn (fields: Record<string, unknown>, event: string): void { this._write('warn', 'urgent', fields, event) }
  error (fields: Record<string, unknown>, event: string): void { this._write('error', 'urgent', fields, event) }

  private _write (level: Level, budget: 'routine' | 'urgent', fields: Record<string, unknown>, event: string): void {
    if (this._remainingLines[budget] <= 0 || this._backlogBytes() > MAX_BACKLOG_BYTES) {
      this._droppedLines += 1
      return
    }
    this._remainingLines[budget] -= 1
    this._logger[level](fields, event)
  }

  private _refill (): void {
    this._remainingLines.routine = Math.min(BURST_LINES, this._remainingLines.routine + LINES_PER_S)
    this._remainingLines.urgent = Math.min(BURST_LINES, this._remainingLines.urgent + LINES_PER_S)
    if (this._droppedLines > 0) this._logger.warn({ lines: this._droppedLines }, 'log_lines_dropped')
    this._droppedLines = 0
  }
}

import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import { Backoff } from '../kernel/Backoff.js'
import type { ILogClient } from './ILogClient.js'
import type { ILogFold } from './ILogFold.js'
import type { LogEntry } from './LogEntry.js'
import type { LogPage } from './LogPage.js'
import { SeenRecordIds } from './SeenRecordIds.js'
import type { StreamName } from './StreamName.js'

const PAGE_RECORDS = 500
// An idle stream costs only one read per 5 s, while `endReachedAtMs` stays recent.
const LONG_POLL_MS = 5000
// Prevents a busy loop if the log responds to a long poll early without records.
const MIN_IDLE_POLL_MS = 20

/** Reads one stream continuously and applies its records to the folds in offset order, each record id once. */
export class StreamTail extends Disposable {
  nextOffset = 0
  isCaughtUp = false
  isFailing = false
  endReachedAtMs = Number.NEGATIVE_INFINITY
  private readonly _onCaughtUp = this._register(new Emitter<StreamName>())
  readonly onCaughtUp = this._onCaughtUp.event
  private readonly _folds: ILogFold[] = []
  private readonly _seenIds: SeenRecordIds
  private readonly _backoff = new Backoff()
  private _isStopped = false

  constructor (
    private readonly _stream: StreamName,
    private readonly _client: ILogClient,
    retentionMs: number,
    private readonly _onApplied: (id: string, entry: LogEntry) => void,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    this._seenIds = new SeenRecordIds(retentionMs)
    this._register(toDisposable(() => { this._isStopped = true }))
  }

  addFold (fold: ILogFold): void {
    this._folds.push(fold)
  }

  async run (): Promise<void> {
    while (!this._isStopped) {
      const startedAtMs = performance.now()
      const waitMs = this.isCaughtUp && !this.isFailing ? LONG_POLL_MS : 0
      const result = await this._client.read(this._stream, this.nextOffset, PAGE_RECORDS, waitMs)
      if (this._isStopped) return
      if (result.isOk()) {
        const page = result.value
        if (!this._checkBounds(page)) {
          await sleep(this._backoff.nextDelayMs())
          continue
        }
        this._applyPage(page)
        const elapsedMs = performance.now() - startedAtMs
        if (page.entries.length === 0 && elapsedMs < MIN_IDLE_POLL_MS) await sleep(MIN_IDLE_POLL_MS)
      } else if (result.error.kind === 'out_of_retention') {
        this._skipGap(result.error.earliestOffset)
        await sleep(MIN_IDLE_POLL_MS)
      } else {
        this._reportReadFailure(result.error.message)
        await sleep(this._backoff.nextDelayMs())
      }
    }
  }

  /** Skips a gap before the page. Returns false, so that the page is not applied, if the stream ends before the read position. */
  private _checkBounds (page: LogPage): boolean {
    if (page.earliestOffset > this.nextOffset) {
      // Some log implementations return the remaining records instead of an `out_of_retention` error.
      this._skipGap(page.earliestOffset)
      return true
    }
    if (page.nextOffset >= this.nextOffset) return true
    this._reportReadFailure(`the stream ends at ${page.nextOffset}, before the read position ${this.nextOffset}`)
    return false
  }

  private _applyPage (page: LogPage): void {
    this.isFailing = false
    this._backoff.reset()
    for (const entry of page.entries) {
      if (entry.offset < this.nextOffset) continue
      this.nextOffset = entry.offset + 1
      this._applyEntry(entry)
    }
    if (this.nextOffset < page.nextOffset) return
    this.endReachedAtMs = performance.now()
    if (this.isCaughtUp) return
    this.isCaughtUp = true
    this._logger.info({ stream: this._stream, offset: this.nextOffset }, 'log_stream_caught_up')
    this._onCaughtUp.fire(this._stream)
  }

  private _applyEntry (entry: LogEntry): void {
    const id = (entry.value as { id?: unknown } | null)?.id
    if (typeof id !== 'string') {
      this._logger.warn({ stream: this._stream, offset: entry.offset }, 'log_record_without_id')
      this._metrics.count('log_records_malformed', { stream: this._stream })
      return
    }
    if (this._seenIds.add(id, entry.timeMs)) {
      for (const fold of this._folds) this._callFold(entry.offset, () => fold.apply(entry))
    }
    this._onApplied(id, entry)
  }

  private _skipGap (earliestOffset: number): void {
    const skipsRecords = earliestOffset > this.nextOffset
    this._logger.warn({ stream: this._stream, from: this.nextOffset, to: earliestOffset }, 'log_gap')
    this._metrics.count('log_gaps', { stream: this._stream })
    this.isCaughtUp = false
    if (!skipsRecords) return
    this.nextOffset = earliestOffset
    for (const fold of this._folds) this._callFold(earliestOffset, () => fold.onGap(earliestOffset))
  }

  /** Logs an exception of one fold, which must not stop the other folds or the stream. */
  private _callFold (offset: number, action: () => void): void {
    try {
      action()
    } catch (error) {
      this._logger.error({ stream: this._stream, offset, error: String(error) }, 'log_fold_failed')
      this._metrics.count('log_fold_failures', { stream: this._stream })
    }
  }

  private _reportReadFailure (message: string): void {
    if (!this.isFailing) this._logger.warn({ stream: this._stream, error: message }, 'log_read_failed')
    this.isFailing = true
    this._metrics.count('log_read_failures', { stream: this._stream })
  }
}

function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}

import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { Disposable } from '../kernel/Disposable.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { AppendLimiter } from './AppendLimiter.js'
import { Backoff } from '../kernel/Backoff.js'
import type { ILogClient } from './ILogClient.js'
import type { LogEntry } from './LogEntry.js'
import type { LogError } from './LogError.js'
import type { PendingRecord } from './PendingRecord.js'
import type { StreamName } from './StreamName.js'

const MAX_BATCH_RECORDS = 256
const MAX_BATCH_CHARS = 1_000_000
// Bounds memory while the log is unavailable. Dropping a record has the same effect as a crash before its append.
const MAX_QUEUED_RECORDS = 20_000
const MAX_QUEUED_CHARS = 64_000_000

/** Append queue of one stream: appends records in batches, one append at a time, and retries failed appends until their records are read back or time out. */
export class StreamAppender extends Disposable {
  /** `performance.now()` of the last failed append; -Infinity after a successful one. */
  failedAtMs = Number.NEGATIVE_INFINITY
  private _queue: PendingRecord[] = []
  private _queuedChars = 0
  /** Records that are queued, in flight or not yet read back, by id. */
  private readonly _pending = new Map<string, PendingRecord>()
  private readonly _backoff = new Backoff()
  private _isRunning = false
  private _isDisposed = false
  private _idleListeners: Array<() => void> = []

  constructor (
    private readonly _stream: StreamName,
    private readonly _client: ILogClient,
    private readonly _limiter: AppendLimiter,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    this._register(toDisposable(() => this._close()))
  }

  append (record: { id: string }, timeoutMs: number): ResultAsync<LogEntry, LogError> {
    return new ResultAsync(new Promise<Result<LogEntry, LogError>>(resolve => {
      const pending = this._createPending(record)
      if (!this._hasCapacity(pending)) {
        resolve(err(unavailable('append queue is full or closed', false)))
        return
      }
      const timer = setTimeout(() => this._expire(pending), Math.max(0, timeoutMs))
      pending.settle = result => {
        clearTimeout(timer)
        resolve(result)
      }
      this._enqueue(pending)
    }))
  }

  appendEventually (record: { id: string }): void {
    const pending = this._createPending(record)
    if (!this._hasCapacity(pending)) {
      this._logger.error({ stream: this._stream, record: record.id }, 'log_queue_full')
      this._metrics.count('log_records_dropped', { stream: this._stream })
      return
    }
    this._enqueue(pending)
  }

  /** Called by the stream tail after a record has been applied to the folds. */
  onApplied (id: string, entry: LogEntry): void {
    const pending = this._pending.get(id)
    if (pending === undefined) return
    this._remove(pending)
    pending.settle?.(ok(entry))
  }

  /** Resolves when nothing is queued or in flight. */
  whenIdle (): Promise<void> {
    if (this._isIdle()) return Promise.resolve()
    return new Promise(resolve => this._idleListeners.push(resolve))
  }

  private _createPending (record: { id: string }): PendingRecord {
    const jsonChars = JSON.stringify(record).length
    return { id: record.id, value: record, jsonChars, mayTakeEffect: false, isInFlight: false, mustAppendAlone: false }
  }

  private _hasCapacity (pending: PendingRecord): boolean {
    if (this._isDisposed || this._queue.length >= MAX_QUEUED_RECORDS) return false
    return this._queuedChars + pending.jsonChars <= MAX_QUEUED_CHARS
  }

  private _enqueue (pending: PendingRecord): void {
    this._pending.set(pending.id, pending)
    this._queue.push(pending)
    this._queuedChars += pending.jsonChars
    if (this._isRunning) return
    this._run().catch((error: unknown) => this._logger.error({ error: String(error) }, 'log_appender_stopped'))
  }

  private async _run (): Promise<void> {
    this._isRunning = true
    while (this._queue.length > 0 && !this._isDisposed) {
      await this._limiter.take()
      const batch = this._takeBatch()
      if (batch.length === 0) continue
      const result = await this._client.append(this._stream, batch.map(record => record.value))
      this._metrics.count('log_appends', { stream: this._stream, result: result.isOk() ? 'ok' : result.error.kind })
      if (result.isOk()) {
        this._onAppended(batch)
      } else {
        await this._onFailed(batch, result.error)
      }
    }
    this._isRunning = false
    this._notifyIdle()
  }

  private _takeBatch (): PendingRecord[] {
    const batch: PendingRecord[] = []
    let batchChars = 0
    for (const record of this._queue) {
      const isFull = batch.length >= MAX_BATCH_RECORDS || batchChars + record.jsonChars > MAX_BATCH_CHARS
      if (batch.length > 0 && (isFull || record.mustAppendAlone || batch[0]?.mustAppendAlone)) break
      batch.push(record)
      batchChars += record.jsonChars
    }
    this._queue = this._queue.slice(batch.length)
    this._queuedChars -= batchChars
    for (const record of batch) record.isInFlight = true
    return batch
  }

  private _onAppended (batch: PendingRecord[]): void {
    this.failedAtMs = Number.NEGATIVE_INFINITY
    this._backoff.reset()
    for (const record of batch) {
      record.isInFlight = false
      record.mayTakeEffect = true
      // Records of `appendEventually` are finished; the others are pending until the tail has read them back.
      if (record.settle === undefined) this._pending.delete(record.id)
    }
  }

  private async _onFailed (batch: PendingRecord[], error: LogError): Promise<void> {
    for (const record of batch) {
      record.isInFlight = false
      record.mayTakeEffect ||= error.mayTakeEffect
    }
    if (error.kind === 'log_rejected') {
      this._onRejected(batch, error)
      return
    }
    this.failedAtMs = performance.now()
    this._requeue(batch)
    this._logger.warn({ stream: this._stream, records: batch.length, error: error.message }, 'log_append_failed')
    await new Promise(resolve => setTimeout(resolve, this._backoff.nextDelayMs()))
  }

  private _onRejected (batch: PendingRecord[], error: LogError): void {
    const [first] = batch
    if (batch.length > 1 || first === undefined) {
      for (const record of batch) record.mustAppendAlone = true
      this._requeue(batch)
      return
    }
    this._logger.error({ stream: this._stream, record: first.id, error: error.message }, 'log_record_refused')
    this._pending.delete(first.id)
    first.settle?.(err(first.mayTakeEffect ? unavailable(error.message, true) : error))
  }

  private _requeue (batch: PendingRecord[]): void {
    // Records that were read back or timed out during the append are no longer pending.
    const stillPending = batch.filter(record => this._pending.has(record.id))
    this._queue = [...stillPending, ...this._queue]
    this._queuedChars += stillPending.reduce((sum, record) => sum + record.jsonChars, 0)
  }

  private _expire (pending: PendingRecord): void {
    const mayTakeEffect = pending.mayTakeEffect || pending.isInFlight
    this._remove(pending)
    pending.settle?.(err(unavailable('record was not read back before the timeout', mayTakeEffect)))
  }

  private _remove (pending: PendingRecord): void {
    this._pending.delete(pending.id)
    const index = this._queue.indexOf(pending)
    if (index < 0) return
    this._queue.splice(index, 1)
    this._queuedChars -= pending.jsonChars
  }

  private _isIdle (): boolean {
    return this._isDisposed || (this._queue.length === 0 && !this._isRunning)
  }

  private _notifyIdle (): void {
    if (!this._isIdle()) return
    const listeners = this._idleListeners
    this._idleListeners = []
    for (const listener of listeners) listener()
  }

  private _close (): void {
    this._isDisposed = true
    for (const pending of [...this._pending.values()]) this._expire(pending)
    this._notifyIdle()
  }
}

function unavailable (message: string, mayTakeEffect: boolean): LogError {
  return { kind: 'log_unavailable', message, mayTakeEffect }
}

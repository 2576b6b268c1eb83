import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { Disposable } from '../kernel/Disposable.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { AppendLimiter } from './AppendLimiter.js'
import { Backoff } from './Backoff.js'
import type { ILogClient } from './ILogClient.js'
import type { LogEntry } from './LogEntry.js'
import type { LogError } from './LogError.js'
import type { PendingRecord } from './PendingRecord.js'
import type { StreamName } from './StreamName.js'

const MAX_BATCH_RECORDS = 256
const MAX_BATCH_SIZE = 1_000_000
// Bounds memory while the log is unavailable. A dropped record is equivalent to a crash before its append.
const MAX_QUEUED_RECORDS = 20_000
const MAX_QUEUED_SIZE = 64_000_000

/** Queue of one stream: appends in batches with one append in flight, and retries until the record is seen. */
export class StreamAppender extends Disposable {
  /** `performance.now()` of the last failed append; -Infinity after a successful one. */
  failedAtMs = Number.NEGATIVE_INFINITY
  private _queue: PendingRecord[] = []
  private _queuedSize = 0
  /** Records by id that are queued, in flight or not read back yet. */
  private readonly _pending = new Map<string, PendingRecord>()
  private readonly _backoff = new Backoff()
  private _isRunning = false
  private _isDisposed = false
  private _onIdle: Array<() => void> = []

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
      const pending = this._newPending(record)
      if (!this._hasRoom(pending)) {
        resolve(err(unavailable('too many records are queued', false)))
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
    const pending = this._newPending(record)
    if (!this._hasRoom(pending)) {
      this._logger.error({ stream: this._stream, record: record.id }, 'log_queue_full')
      this._metrics.count('log_records_dropped', { stream: this._stream })
      return
    }
    this._enqueue(pending)
  }

  /** Called by the tail after the folds have applied an entry. */
  onApplied (id: string, entry: LogEntry): void {
    const pending = this._pending.get(id)
    if (pending === undefined) return
    this._remove(pending)
    pending.settle?.(ok(entry))
  }

  /** Resolves when nothing is queued or in flight. */
  whenIdle (): Promise<void> {
    if (this._isIdle()) return Promise.resolve()
    return new Promise(resolve => this._onIdle.push(resolve))
  }

  private _newPending (record: { id: string }): PendingRecord {
    const size = JSON.stringify(record).length
    return { id: record.id, value: record, jsonChars: size, mayLand: false, isInFlight: false, mustAppendAlone: false }
  }

  private _hasRoom (pending: PendingRecord): boolean {
    if (this._isDisposed || this._queue.length >= MAX_QUEUED_RECORDS) return false
    return this._queuedSize + pending.jsonChars <= MAX_QUEUED_SIZE
  }

  private _enqueue (pending: PendingRecord): void {
    this._pending.set(pending.id, pending)
    this._queue.push(pending)
    this._queuedSize += pending.jsonChars
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
    this._reportIdle()
  }

  private _takeBatch (): PendingRecord[] {
    const batch: PendingRecord[] = []
    let size = 0
    for (const record of this._queue) {
      const isFull = batch.length >= MAX_BATCH_RECORDS || size + record.jsonChars > MAX_BATCH_SIZE
      if (batch.length > 0 && (isFull || record.mustAppendAlone || batch[0]?.mustAppendAlone)) break
      batch.push(record)
      size += record.jsonChars
    }
    this._queue = this._queue.slice(batch.length)
    this._queuedSize -= size
    for (const record of batch) record.isInFlight = true
    return batch
  }

  private _onAppended (batch: PendingRecord[]): void {
    this.failedAtMs = Number.NEGATIVE_INFINITY
    this._backoff.reset()
    for (const record of batch) {
      record.isInFlight = false
      record.mayLand = true
      // A record without a waiting caller is done; the others wait until the tail has read them.
      if (record.settle === undefined) this._pending.delete(record.id)
    }
  }

  private async _onFailed (batch: PendingRecord[], error: LogError): Promise<void> {
    for (const record of batch) {
      record.isInFlight = false
      record.mayLand ||= error.mayLand
    }
    if (error.kind === 'log_refused') {
      this._onRefused(batch, error)
      return
    }
    this.failedAtMs = performance.now()
    this._requeue(batch)
    this._logger.warn({ stream: this._stream, records: batch.length, error: error.message }, 'log_append_failed')
    await new Promise(resolve => setTimeout(resolve, this._backoff.nextDelayMs()))
  }

  private _onRefused (batch: PendingRecord[], error: LogError): void {
    const [first] = batch
    if (batch.length > 1 || first === undefined) {
      for (const record of batch) record.mustAppendAlone = true
      this._requeue(batch)
      return
    }
    this._logger.error({ stream: this._stream, record: first.id, error: error.message }, 'log_record_refused')
    this._pending.delete(first.id)
    first.settle?.(err(first.mayLand ? unavailable(error.message, true) : error))
  }

  private _requeue (batch: PendingRecord[]): void {
    // Records that were read back or timed out in the meantime are no longer pending.
    const open = batch.filter(record => this._pending.has(record.id))
    this._queue = [...open, ...this._queue]
    this._queuedSize += open.reduce((sum, record) => sum + record.jsonChars, 0)
  }

  private _expire (pending: PendingRecord): void {
    const mayLand = pending.mayLand || pending.isInFlight
    this._remove(pending)
    pending.settle?.(err(unavailable('the record was not seen in time', mayLand)))
  }

  private _remove (pending: PendingRecord): void {
    this._pending.delete(pending.id)
    const index = this._queue.indexOf(pending)
    if (index < 0) return
    this._queue.splice(index, 1)
    this._queuedSize -= pending.jsonChars
  }

  private _isIdle (): boolean {
    return this._isDisposed || (this._queue.length === 0 && !this._isRunning)
  }

  private _reportIdle (): void {
    if (!this._isIdle()) return
    const listeners = this._onIdle
    this._onIdle = []
    for (const listener of listeners) listener()
  }

  private _close (): void {
    this._isDisposed = true
    for (const pending of [...this._pending.values()]) this._expire(pending)
    this._reportIdle()
  }
}

function unavailable (message: string, mayLand: boolean): LogError {
  return { kind: 'log_unavailable', message, mayLand }
}

import type { ResultAsync } from 'neverthrow'
import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import { loggerId } from '../metrics/loggerId.js'
import { metricsId } from '../metrics/metricsId.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import { AppendLimiter } from './AppendLimiter.js'
import type { ILogClient } from './ILogClient.js'
import type { ILogFold } from './ILogFold.js'
import type { ILogHub } from './ILogHub.js'
import type { LogEntry } from './LogEntry.js'
import type { LogError } from './LogError.js'
import { logClientId } from './logClientId.js'
import { StreamAppender } from './StreamAppender.js'
import type { StreamName } from './StreamName.js'
import type { StreamStatus } from './StreamStatus.js'
import { StreamTail } from './StreamTail.js'

const STREAMS: StreamName[] = ['contracts', 'claims', 'steps', 'leases']

/** Follows all streams of the log and appends to them within the entry's append rate. */
export class LogHub extends Disposable implements ILogHub {
  private readonly _onCaughtUp = this._register(new Emitter<StreamName>())
  readonly onCaughtUp = this._onCaughtUp.event
  private readonly _appenders = new Map<StreamName, StreamAppender>()
  private readonly _tails = new Map<StreamName, StreamTail>()
  private _isStarted = false

  constructor (
    @logClientId client: ILogClient,
    @entrySettingsId settings: EntrySettings,
    @loggerId private readonly _logger: ILogger,
    @metricsId metrics: IMetrics
  ) {
    super()
    const limiter = new AppendLimiter(settings.appendIntervalMs)
    for (const stream of STREAMS) {
      const appender = this._register(new StreamAppender(stream, client, limiter, _logger, metrics))
      const onApplied = (id: string, entry: LogEntry): void => appender.onApplied(id, entry)
      const tail = this._register(new StreamTail(stream, client, settings.retentionMs, onApplied, _logger, metrics))
      this._register(tail.onCaughtUp(name => this._onCaughtUp.fire(name)))
      this._appenders.set(stream, appender)
      this._tails.set(stream, tail)
    }
  }

  addFold (stream: StreamName, fold: ILogFold): void {
    if (this._isStarted) throw new Error(`fold of stream ${stream} added after start`)
    this._tail(stream).addFold(fold)
  }

  start (): void {
    if (this._isStarted) return
    this._isStarted = true
    for (const tail of this._tails.values()) {
      tail.run().catch((error: unknown) => this._logger.error({ error: String(error) }, 'log_tail_stopped'))
    }
  }

  append (stream: StreamName, record: { id: string }, timeoutMs: number): ResultAsync<LogEntry, LogError> {
    return this._appender(stream).append(record, timeoutMs)
  }

  appendEventually (stream: StreamName, record: { id: string }): void {
    this._appender(stream).appendEventually(record)
  }

  status (stream: StreamName): StreamStatus {
    const tail = this._tail(stream)
    return {
      nextOffset: tail.nextOffset,
      isCaughtUp: tail.isCaughtUp,
      endReachedAtMs: tail.endReachedAtMs,
      // A read that reached the end after the failed append shows that the log is back.
      isFailing: tail.isFailing || this._appender(stream).failedAtMs > tail.endReachedAtMs
    }
  }

  async flush (timeoutMs: number): Promise<void> {
    const idle = Promise.all([...this._appenders.values()].map(appender => appender.whenIdle()))
    let timer: ReturnType<typeof setTimeout> | undefined
    const timeout = new Promise<void>(resolve => { timer = setTimeout(resolve, timeoutMs) })
    await Promise.race([idle, timeout])
    clearTimeout(timer)
  }

  private _tail (stream: StreamName): StreamTail {
    return this._tails.get(stream) as StreamTail
  }

  private _appender (stream: StreamName): StreamAppender {
    return this._appenders.get(stream) as StreamAppender
  }
}

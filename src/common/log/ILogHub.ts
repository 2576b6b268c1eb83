import type { ResultAsync } from 'neverthrow'
import type { IDisposable } from '../kernel/IDisposable.js'
import type { IEvent } from '../kernel/IEvent.js'
import type { ILogFold } from './ILogFold.js'
import type { LogEntry } from './LogEntry.js'
import type { LogError } from './LogError.js'
import type { StreamName } from './StreamName.js'
import type { StreamStatus } from './StreamStatus.js'

/** Reads the streams of the log, applies their records to the folds and appends records in batches. */
export interface ILogHub extends IDisposable {
  /** Fires with the stream name when this entry has read a stream to its end for the first time or again after a gap. */
  readonly onCaughtUp: IEvent<StreamName>
  /** Registers a fold of a stream. Throws after `start`, because the fold would miss records. */
  addFold (stream: StreamName, fold: ILogFold): void
  /** Starts reading all streams. */
  start (): void
  /**
   * Appends a record with a unique `id` and waits until this entry has read it back and applied it to the folds.
   * If the response to an append is lost, the same record is appended again; readers drop the duplicate by its `id`.
   * Fails with `log_unavailable` after `timeoutMs`; `mayTakeEffect` then tells whether the record may still appear in the stream.
   * Fails with `log_rejected` if the log rejects the record and no earlier attempt may have appended it.
   */
  append (stream: StreamName, record: { id: string }, timeoutMs: number): ResultAsync<LogEntry, LogError>
  /** Queues a record and retries the append until it succeeds or the hub is disposed. A record is dropped if the queue is full or the log rejects it. */
  appendEventually (stream: StreamName, record: { id: string }): void
  status (stream: StreamName): StreamStatus
  /** Resolves when nothing is queued or in flight, at the latest after `timeoutMs`. */
  flush (timeoutMs: number): Promise<void>
}

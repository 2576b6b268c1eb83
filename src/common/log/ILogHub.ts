import type { ResultAsync } from 'neverthrow'
import type { IDisposable } from '../kernel/IDisposable.js'
import type { IEvent } from '../kernel/IEvent.js'
import type { ILogFold } from './ILogFold.js'
import type { LogEntry } from './LogEntry.js'
import type { LogError } from './LogError.js'
import type { StreamName } from './StreamName.js'
import type { StreamStatus } from './StreamStatus.js'

/** Follows the streams, feeds the folds and appends records in batches. */
export interface ILogHub extends IDisposable {
  /** Fires with the stream name when a stream has caught up for the first time or after a gap. */
  readonly onCaughtUp: IEvent<StreamName>
  /** Feeds a fold; all folds of a stream must be added before `start`. */
  addFold (stream: StreamName, fold: ILogFold): void
  start (): void
  /**
   * Appends a record (which carries a unique `id`) and waits until this entry has read it back and
   * applied it to the folds. A lost answer is settled by appending the same record again.
   * Fails with `log_unavailable` after `timeoutMs`; `mayLand` then tells whether it may still appear.
   */
  append (stream: StreamName, record: { id: string }, timeoutMs: number): ResultAsync<LogEntry, LogError>
  /** Queues a record that is retried until it is in the log or the hub is disposed. */
  appendEventually (stream: StreamName, record: { id: string }): void
  status (stream: StreamName): StreamStatus
  /** Resolves when nothing is queued, at most after `timeoutMs`. */
  flush (timeoutMs: number): Promise<void>
}

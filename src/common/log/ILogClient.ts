import type { ResultAsync } from 'neverthrow'
import type { LogError } from './LogError.js'
import type { LogPage } from './LogPage.js'
import type { StreamName } from './StreamName.js'

/** Plain access to the platform's log over its published protocol; one attempt per call. */
export interface ILogClient {
  /** Appends records in one append and returns the first offset. */
  append (stream: StreamName, values: unknown[]): ResultAsync<number, LogError>
  /** Reads from an offset; waits up to `waitMs` for a record when there is none yet. */
  read (stream: StreamName, fromOffset: number, limit: number, waitMs: number): ResultAsync<LogPage, LogError>
}

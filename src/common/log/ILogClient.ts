import type { ResultAsync } from 'neverthrow'
import type { LogError } from './LogError.js'
import type { LogPage } from './LogPage.js'
import type { StreamName } from './StreamName.js'

/** Client of the platform's log over its published protocol; one attempt per call. */
export interface ILogClient {
  /** Appends records in one request and returns the offset of the first one. */
  append (stream: StreamName, values: unknown[]): ResultAsync<number, LogError>
  /** Reads at most `limit` records from an offset; waits up to `waitMs` for a record if there is none yet (long poll). */
  read (stream: StreamName, fromOffset: number, limit: number, waitMs: number): ResultAsync<LogPage, LogError>
}

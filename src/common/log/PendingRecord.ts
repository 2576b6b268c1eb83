import type { Result } from 'neverthrow'
import type { LogEntry } from './LogEntry.js'
import type { LogError } from './LogError.js'

/** A record that an entry has yet to append or to read back. */
export interface PendingRecord {
  id: string
  value: unknown
  /** Length of the JSON text in UTF-16 units, an approximation of its size in bytes. */
  jsonChars: number
  /** True when an earlier attempt may have changed the log. */
  mayLand: boolean
  isInFlight: boolean
  /** True when a batch with this record was refused, so that it is sent alone to find the faulty one. */
  mustAppendAlone: boolean
  /** Reports the outcome to the caller of `append`; absent for records that are retried without limit. */
  settle?: (result: Result<LogEntry, LogError>) => void
}

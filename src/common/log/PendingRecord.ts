import type { Result } from 'neverthrow'
import type { LogEntry } from './LogEntry.js'
import type { LogError } from './LogError.js'

/** A record that an entry has not yet appended or not yet read back. */
export interface PendingRecord {
  id: string
  value: unknown
  /** Length of the JSON text in UTF-16 code units, an approximation of its size in bytes. */
  jsonChars: number
  /** True when an earlier attempt may have appended the record. */
  mayTakeEffect: boolean
  isInFlight: boolean
  /** True when the log rejected a batch with this record; it is then appended in a batch of its own, to find the invalid record. */
  mustAppendAlone: boolean
  /** Resolves the promise of the caller of `append`; absent for records of `appendEventually`. */
  settle?: (result: Result<LogEntry, LogError>) => void
}

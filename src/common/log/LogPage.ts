import type { LogEntry } from './LogEntry.js'

/** Result of a read: records in offset order, and the bounds of the stream. */
export interface LogPage {
  entries: LogEntry[]
  /** Offset of the oldest record that the log still keeps. */
  earliestOffset: number
  /** Offset that the next appended record will have. */
  nextOffset: number
}

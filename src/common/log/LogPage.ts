import type { LogEntry } from './LogEntry.js'

/** Answer to a read: records in order, and the bounds of the stream. */
export interface LogPage {
  entries: LogEntry[]
  earliestOffset: number
  nextOffset: number
}

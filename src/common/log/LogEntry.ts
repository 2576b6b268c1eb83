/** One record of a stream with its position and the log's own time. */
export interface LogEntry {
  offset: number
  timeMs: number
  value: unknown
}

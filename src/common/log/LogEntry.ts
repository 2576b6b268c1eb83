/** A record as read from a stream: its offset, the time at which the log stored it, and its content. */
export interface LogEntry {
  offset: number
  timeMs: number
  value: unknown
}

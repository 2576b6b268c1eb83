/** A record as the log stores and returns it. */
export interface LogRecord {
  offset: number
  time_ms: number
  value: unknown
}

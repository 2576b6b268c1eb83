/** A record as the log keeps and answers it. */
export interface LogRecord {
  offset: number
  time_ms: number
  value: unknown
}

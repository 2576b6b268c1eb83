/** Structured logger: one event per line with its fields as key=value. */
export interface ILogger {
  info (fields: Record<string, unknown>, event: string): void
  warn (fields: Record<string, unknown>, event: string): void
  error (fields: Record<string, unknown>, event: string): void
  debug (fields: Record<string, unknown>, event: string): void
}

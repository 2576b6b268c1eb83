import type { LogEntry } from './LogEntry.js'

/** State rebuilt from a stream. Entries arrive in offset order, each `id` once. */
export interface ILogFold {
  apply (entry: LogEntry): void
  /**
   * Called when records between the read position and `earliestOffset` were lost to retention.
   * The fold must not trust that it has seen everything; it continues from `earliestOffset`.
   */
  onGap (earliestOffset: number): void
}

import type { LogEntry } from './LogEntry.js'

/** State computed from the records of a stream. Records are applied in offset order, each `id` once. */
export interface ILogFold {
  apply (entry: LogEntry): void
  /**
   * Called when records between the read position and `earliestOffset` were removed by retention before they were read.
   * The state may then be incomplete; reading continues at `earliestOffset`.
   */
  onGap (earliestOffset: number): void
}

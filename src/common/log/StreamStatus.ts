/** How far an entry has followed a stream. */
export interface StreamStatus {
  /** Offset that is read next. */
  nextOffset: number
  /** True once everything that the log held at start has been applied. */
  isCaughtUp: boolean
  /** `performance.now()` of the last read that reached the end of the stream. */
  endReachedAtMs: number
  /** True while reads or appends fail. */
  isFailing: boolean
}

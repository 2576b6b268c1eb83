/** Read position and health of a stream on this entry. */
export interface StreamStatus {
  /** Offset of the next record to be read. */
  nextOffset: number
  /** True once the stream has been read to its end; false again after a retention gap until the end is reached. */
  isCaughtUp: boolean
  /** `performance.now()` of the last read that reached the end of the stream; -Infinity before the first. */
  endReachedAtMs: number
  /** True while reads or appends are failing. */
  isFailing: boolean
}

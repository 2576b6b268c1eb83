/** Load that an upstream reported in a response. */
export interface LoadReading {
  running: number
  waiting: number
  slots: number
  /** Current duration of work on the upstream's host relative to its normal duration; 1 is normal. */
  slowdownFactor: number
}

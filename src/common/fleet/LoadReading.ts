/** Load that an upstream reported with an answer. */
export interface LoadReading {
  running: number
  waiting: number
  slots: number
  /** How long work takes on its host at this moment, relative to the usual 1. */
  slowdownFactor: number
}

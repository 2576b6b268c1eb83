/** Accepted sample that exceeds the staleness bound. */
export interface StaleSample {
  step: number
  group: string
  index: number
  attempt: number
}

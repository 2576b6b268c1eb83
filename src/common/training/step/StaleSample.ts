/** A sample that is too old to be delivered. */
export interface StaleSample {
  step: number
  group: string
  index: number
  attempt: number
}

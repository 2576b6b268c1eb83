import type { Sample } from '../schema/Sample.js'

/** A whole group as a trainer receives it. */
export interface DeliveredGroup {
  step: number
  group: string
  /** Position in the trainer's cursor order. */
  position: number
  samples: Sample[]
}

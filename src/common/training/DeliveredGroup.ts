import type { Sample } from '../schema/Sample.js'

/** Complete group as it is returned to a trainer. */
export interface DeliveredGroup {
  step: number
  group: string
  /** Log offset that orders the groups; a cursor acknowledges every group up to it. */
  position: number
  samples: Sample[]
}

/** Newest weights of one trainer, as the engines should hold them. */
export interface WeightTarget {
  /** `{organisation}/{trainer}` */
  model: string
  version: number
  /** How many versions behind the newest one a sample may be. */
  stalenessBound: number
}

/** Newest weights of one trainer, which the engines should load. */
export interface WeightTarget {
  /** `{organisation}/{trainer}` */
  model: string
  version: number
  /** Maximum number of versions that a sample may be behind the newest one. */
  stalenessBound: number
}

/** Work of a service at one moment, in slots. */
export interface ScalingDemand {
  running: number
  /** Work that is due and waits for a slot. */
  waiting: number
}

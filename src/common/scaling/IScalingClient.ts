import type { ScalingOrder } from './ScalingOrder.js'

/** Sends orders for upstreams to the platform. Each call makes one attempt, within a time-out, and does not reject. */
export interface IScalingClient {
  /** `unavailable`: none are to be had there now, or the fencing token is too low. `retry`: the order may have been executed. */
  order (order: ScalingOrder, holder: string, fencingToken: number): Promise<'accepted' | 'unavailable' | 'retry'>
}

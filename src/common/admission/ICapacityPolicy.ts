import type { Upstream } from '../upstream/Upstream.js'

/** Decides whether this entry may send an upstream one more request. */
export interface ICapacityPolicy {
  /**
   * `isReservingForShort`: short requests arrived recently, so slots are reserved for them. `isLongOverdue`: a
   * long request has been queued for too long.
   */
  hasCapacity (upstream: Upstream, size: 'short' | 'long', isReservingForShort: boolean, isLongOverdue: boolean, nowMs: number): boolean
}

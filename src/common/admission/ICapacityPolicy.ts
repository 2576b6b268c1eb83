import type { Upstream } from '../upstream/Upstream.js'

/** Decides whether an upstream may be sent one more request of this entry. */
export interface ICapacityPolicy {
  /**
   * `isReserving`: short work was seen lately, so places are kept free for it. `isOverdue`: the oldest
   * long request has waited for too long.
   */
  hasCapacity (upstream: Upstream, size: 'short' | 'long', isReservingForShort: boolean, isLongOverdue: boolean, nowMs: number): boolean
}

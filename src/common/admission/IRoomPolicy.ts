import type { Upstream } from '../upstream/Upstream.js'

/** Decides whether an upstream may be sent one more request of this entry. */
export interface IRoomPolicy {
  /**
   * `isReserving`: short work was seen lately, so places are kept free for it. `isOverdue`: the oldest
   * long request has waited for too long.
   */
  hasRoom (upstream: Upstream, size: 'short' | 'long', isReserving: boolean, isOverdue: boolean, nowMs: number): boolean
}

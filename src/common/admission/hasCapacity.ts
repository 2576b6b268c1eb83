import { estimateOutstanding } from '../upstream/balance/estimateOutstanding.js'
import type { Upstream } from '../upstream/Upstream.js'

/** Fraction of an upstream's limit or capacity that long requests may use while slots are reserved for short ones. */
const LONG_FRACTION = 0.75
/** Multiple of the reported capacity up to which all entries together fill an upstream; the excess queues there so that it never idles. */
const OVERCOMMIT_FACTOR = 1.25

/**
 * True when this entry may send one more request of this size. `isReservingForShort` tells whether short requests
 * arrived recently; without it long requests leave only one slot free. `isLongOverdue` lets the first long request
 * of this entry ignore the estimated load of other entries, which must not delay it for long.
 */
export function hasCapacity (upstream: Upstream, size: 'short' | 'long', isReservingForShort: boolean, isLongOverdue: boolean, nowMs: number): boolean {
  const limit = Math.floor(upstream.limit)
  if (upstream.outstanding >= limit) {
    return false
  }
  if (size === 'long') {
    const longLimit = Math.max(1, isReservingForShort ? Math.floor(limit * LONG_FRACTION) : limit - 1)
    if (upstream.outstandingLong >= longLimit) {
      return false
    }
  }
  if (upstream.load === undefined) {
    return true
  }
  const isFirst = size === 'long' ? upstream.outstandingLong === 0 : upstream.outstanding === 0
  if (isFirst && (size === 'short' || isLongOverdue)) {
    return true
  }
  const capacityFactor = size === 'long' ? (isReservingForShort ? LONG_FRACTION : 1) : OVERCOMMIT_FACTOR
  return estimateOutstanding(upstream, nowMs) < Math.max(1, upstream.load.capacity * capacityFactor)
}

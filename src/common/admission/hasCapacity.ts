import { estimateOutstanding } from '../upstream/balance/estimateOutstanding.js'
import type { Upstream } from '../upstream/Upstream.js'

/** Part of an upstream that long work may use while short work is about. */
const LONG_FRACTION = 0.75
/** Part of the reported capacity up to which all entries together fill an upstream; a little waits there so that it never idles. */
const OVERCOMMIT_FACTOR = 1.25

/**
 * True when this entry may send one more request of this size. `isReserving` tells whether short work
 * was seen lately; without it long work leaves only one place free. `isOverdue` lets the first request of
 * this entry pass the estimate of the others' load, which must not hold it up for long.
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

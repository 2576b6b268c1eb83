import { estimateOutstanding } from '../upstream/balance/estimateOutstanding.js'
import type { Upstream } from '../upstream/Upstream.js'

/** Part of an upstream that long work may use while short work is about. */
const LONG_PART = 0.75
/** Part of the reported capacity up to which all entries together fill an upstream; a little waits there so that it never idles. */
const FILL = 1.25

/**
 * True when this entry may send one more request of this size. `isReserving` tells whether short work
 * was seen lately; without it long work leaves only one place free. `isOverdue` lets the first request of
 * this entry pass the estimate of the others' load, which must not hold it up for long.
 */
export function hasRoom (upstream: Upstream, size: 'short' | 'long', isReserving: boolean, isOverdue: boolean, nowMs: number): boolean {
  const limit = Math.floor(upstream.limit)
  if (upstream.outstanding >= limit) {
    return false
  }
  if (size === 'long') {
    const longLimit = Math.max(1, isReserving ? Math.floor(limit * LONG_PART) : limit - 1)
    if (upstream.outstandingLong >= longLimit) {
      return false
    }
  }
  if (upstream.load === undefined) {
    return true
  }
  const isFirst = size === 'long' ? upstream.outstandingLong === 0 : upstream.outstanding === 0
  if (isFirst && (size === 'short' || isOverdue)) {
    return true
  }
  const fill = size === 'long' ? (isReserving ? LONG_PART : 1) : FILL
  return estimateOutstanding(upstream, nowMs) < Math.max(1, upstream.load.capacity * fill)
}

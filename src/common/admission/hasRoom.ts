import { estimateOutstanding } from '../upstream/estimateOutstanding.js'
import type { Upstream } from '../upstream/Upstream.js'

/** Part of an upstream that long work may use while short work is about. */
const LONG_PART = 0.75
/** Part of the reported capacity up to which all entries together fill an upstream; a little waits there so that it never idles. */
const FILL = 1.25

/**
 * True when this entry may send one more request of this size. `isReserving` tells whether short work
 * was seen lately; without it long work leaves only one place free.
 */
export function hasRoom (upstream: Upstream, size: 'short' | 'long', isReserving: boolean, nowMs: number): boolean {
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
  // One request of each size may always run: the others' load is an estimate and must not stop this entry.
  const own = size === 'long' ? upstream.outstandingLong : upstream.outstanding
  if (upstream.load === undefined || own === 0) {
    return true
  }
  const fill = size === 'long' ? (isReserving ? LONG_PART : 1) : FILL
  return estimateOutstanding(upstream, nowMs) < Math.max(1, upstream.load.capacity * fill)
}

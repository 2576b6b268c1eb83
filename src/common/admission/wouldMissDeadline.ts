import type { Upstream } from '../upstream/Upstream.js'
import type { Waiter } from './Waiter.js'

/** Bounds the effect of a wrong estimate: nothing is rejected in the first three quarters of the time to its deadline. */
const MAX_REJECTABLE_FRACTION = 0.25

/**
 * True when a call would most likely miss its deadline on the upstream, so that running it would only take
 * a slot from a call that can still meet its own. Never true for generations, because their units are an
 * upper bound of the length.
 */
export function wouldMissDeadline ({ request, enqueuedAtMs }: Waiter, upstream: Upstream, nowMs: number): boolean {
  const smoothedMs = upstream.times?.smoothed(request.size)
  if (request.units !== 1 || smoothedMs === undefined) return false
  const totalMs = request.deadlineAtMs - enqueuedAtMs
  return request.deadlineAtMs - nowMs < Math.min(smoothedMs, totalMs * MAX_REJECTABLE_FRACTION)
}

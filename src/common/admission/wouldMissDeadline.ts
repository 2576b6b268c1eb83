import type { Upstream } from '../upstream/Upstream.js'
import type { Waiter } from './Waiter.js'

/** Bounds what a wrong estimate may refuse: nothing in the first three quarters of a request's time. */
const MAX_REFUSABLE_FRACTION = 0.25

/**
 * True when a call would most likely miss its deadline on the upstream, so that running it would only
 * take a place from one that can still make it. Generations state an upper bound of their length and
 * are never too late by it.
 */
export function wouldMissDeadline ({ request, enqueuedAtMs }: Waiter, upstream: Upstream, nowMs: number): boolean {
  const smoothedMs = upstream.times?.smoothed(request.size)
  if (request.units !== 1 || smoothedMs === undefined) return false
  const totalMs = request.deadlineAtMs - enqueuedAtMs
  return request.deadlineAtMs - nowMs < Math.min(smoothedMs, totalMs * MAX_REFUSABLE_FRACTION)
}

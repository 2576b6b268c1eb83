import type { Upstream } from '../upstream/Upstream.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import type { ServiceEstimate } from './ServiceEstimate.js'

/**
 * Estimates a service from the measured times and limits of its upstreams. The least time is that of
 * the shortest request, because calls of differing length share a size.
 */
export function estimateService (upstreams: readonly Upstream[], request: AdmissionRequest): ServiceEstimate {
  let leastMs = Infinity
  let placesPerMs = 0
  for (const { times, limit } of upstreams) {
    const shortestMs = times?.least(request.size)
    const smoothedMs = times?.smoothed(request.size)
    if (shortestMs === undefined || smoothedMs === undefined) {
      // An upstream that was never measured may be as fast as any.
      return { leastMs: 0, turnMs: 0 }
    }
    leastMs = Math.min(leastMs, shortestMs * request.units)
    placesPerMs += limit / Math.max(0.01, smoothedMs * request.units)
  }
  return upstreams.length === 0 ? { leastMs: 0, turnMs: 0 } : { leastMs, turnMs: 1 / placesPerMs }
}

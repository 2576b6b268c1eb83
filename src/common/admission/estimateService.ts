import type { Upstream } from '../upstream/Upstream.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import type { ServiceEstimate } from './ServiceEstimate.js'

/**
 * Estimates a service from the measured times and limits of its upstreams. The least time is that of
 * the shortest request, because calls of differing length share a size.
 */
export function estimateService (upstreams: readonly Upstream[], request: AdmissionRequest): ServiceEstimate {
  let minServiceTimeMs = Infinity
  let slotsPerMs = 0
  for (const { times, limit } of upstreams) {
    const shortestMs = times?.shortest(request.size)
    const smoothedMs = times?.smoothed(request.size)
    if (shortestMs === undefined || smoothedMs === undefined) {
      // An upstream that was never measured may be as fast as any.
      return { minServiceTimeMs: 0, slotIntervalMs: 0 }
    }
    minServiceTimeMs = Math.min(minServiceTimeMs, shortestMs * request.units)
    slotsPerMs += limit / Math.max(0.01, smoothedMs * request.units)
  }
  return upstreams.length === 0 ? { minServiceTimeMs: 0, slotIntervalMs: 0 } : { minServiceTimeMs: minServiceTimeMs, slotIntervalMs: 1 / slotsPerMs }
}

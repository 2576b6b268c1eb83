import type { Upstream } from '../upstream/Upstream.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import type { ServiceEstimate } from './ServiceEstimate.js'

/**
 * Estimates a service from the measured times and limits of its upstreams. The minimum service time is that
 * of the shortest request, because calls of different length share a size.
 */
export function estimateService (upstreams: readonly Upstream[], request: AdmissionRequest): ServiceEstimate {
  let minServiceTimeMs = Infinity
  let slotsPerMs = 0
  for (const { times, limit } of upstreams) {
    const shortestUnitMs = times?.shortest(request.size)
    const smoothedUnitMs = times?.smoothed(request.size)
    if (shortestUnitMs === undefined || smoothedUnitMs === undefined) {
      // An upstream without measurements may be arbitrarily fast.
      return { minServiceTimeMs: 0, slotIntervalMs: 0 }
    }
    minServiceTimeMs = Math.min(minServiceTimeMs, shortestUnitMs * request.units)
    slotsPerMs += limit / Math.max(0.01, smoothedUnitMs * request.units)
  }
  return upstreams.length === 0 ? { minServiceTimeMs: 0, slotIntervalMs: 0 } : { minServiceTimeMs, slotIntervalMs: 1 / slotsPerMs }
}

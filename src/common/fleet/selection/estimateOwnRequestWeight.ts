import type { LoadAverages } from './LoadAverages.js'

/**
 * Estimates for how many requests at the upstreams of a service each request of this process stands: the ratio of all
 * requests to the own ones, at least 1. Processes with the same figures choose alike, so an own request that no reading
 * contains yet is a sign of about as many from the others. It is 1 for the only process, and before any load was seen.
 */
export function estimateOwnRequestWeight (averages: readonly LoadAverages[]): number {
  const total = averages.reduce((sum, each) => sum + each.total, 0)
  const own = averages.reduce((sum, each) => sum + each.own, 0)
  return total > own ? total / own : 1
}

import type { FleetUpstream } from './FleetUpstream.js'

/** Assumed response time of an upstream that has not responded yet. */
const DEFAULT_RESPONSE_MS = 40

/**
 * Chooses the upstream with the shortest expected response time, which follows from its average response time, its
 * slowdown factor and the requests in flight there. Excluded upstreams are used only if there is no other.
 */
export function chooseUpstream (candidates: readonly FleetUpstream[], tieBreak: () => number = Math.random): FleetUpstream | undefined {
  const healthy = candidates.filter(upstream => !upstream.isExcluded)
  let best: { upstream: FleetUpstream, costMs: number } | undefined
  for (const upstream of healthy.length > 0 ? healthy : candidates) {
    const costMs = expectedResponseMs(upstream) * (1 + 0.1 * tieBreak())
    if (best === undefined || costMs < best.costMs) best = { upstream, costMs }
  }
  return best?.upstream
}

function expectedResponseMs (upstream: FleetUpstream): number {
  const { slots } = upstream.member
  const inFlight = upstream.outstanding + upstream.outstandingFromOthers
  const queueFactor = 1 + Math.max(0, inFlight + 1 - slots) / Math.max(1, slots)
  // Some upstreams slow down before all slots are in use, so load below the limit counts as well.
  const loadFactor = 1 + 0.5 * inFlight / Math.max(1, slots)
  return (upstream.averageMs ?? DEFAULT_RESPONSE_MS) * upstream.slowdownFactor * queueFactor * loadFactor
}

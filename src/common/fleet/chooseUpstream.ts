import type { FleetUpstream } from './FleetUpstream.js'

/** Assumed answer time of an upstream that has not answered yet. */
const DEFAULT_ANSWER_MS = 40

/**
 * Chooses the upstream with the shortest expected answer time: its average time, its slowness now and the
 * requests in flight there. Upstreams that failed lately are used only when there is no other.
 */
export function chooseUpstream (candidates: readonly FleetUpstream[], tieBreak: () => number = Math.random): FleetUpstream | undefined {
  const sound = candidates.filter(upstream => !upstream.isExcluded)
  let best: { upstream: FleetUpstream, costMs: number } | undefined
  for (const upstream of sound.length > 0 ? sound : candidates) {
    const costMs = expectedMs(upstream) * (1 + 0.1 * tieBreak())
    if (best === undefined || costMs < best.costMs) best = { upstream, costMs }
  }
  return best?.upstream
}

function expectedMs (upstream: FleetUpstream): number {
  const { slots } = upstream.member
  const inFlight = upstream.outstanding + upstream.outstandingFromOthers
  const rounds = 1 + Math.max(0, inFlight + 1 - slots) / Math.max(1, slots)
  // Some upstreams slow down before they are full, so load counts below the limit as well.
  const share = 1 + 0.5 * inFlight / Math.max(1, slots)
  return (upstream.averageMs ?? DEFAULT_ANSWER_MS) * upstream.slowdownFactor * rounds * share
}

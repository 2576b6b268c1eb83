import type { Upstream } from '../upstream/Upstream.js'

/** Time over which the traffic of a recovered upstream grows to its full amount. */
const SLOW_START_MS = 10_000
/** Probability with which an upstream stays a candidate right after it has recovered. */
const INITIAL_PROBABILITY = 0.1

/** Removes recovering upstreams with a probability that falls with time, but never all candidates. */
export function applySlowStart (candidates: Upstream[], nowMs: number, random: () => number): Upstream[] {
  const kept = candidates.filter(({ recoveredAtMs }) => {
    if (recoveredAtMs === undefined || nowMs - recoveredAtMs >= SLOW_START_MS) {
      return true
    }
    return random() < INITIAL_PROBABILITY + (1 - INITIAL_PROBABILITY) * (nowMs - recoveredAtMs) / SLOW_START_MS
  })
  return kept.length > 0 ? kept : candidates
}

import type { Upstream } from '../upstream/Upstream.js'

/** Time over which an upstream that came back gets its full part of the traffic again. */
const RAMP_MS = 10_000
const FIRST_PART = 0.1

/** Leaves out recovering upstreams with a probability that falls with time, but never all candidates. */
export function withoutRecovering (candidates: Upstream[], nowMs: number, random: () => number): Upstream[] {
  const kept = candidates.filter(({ recoveredAtMs }) => {
    if (recoveredAtMs === undefined || nowMs - recoveredAtMs >= RAMP_MS) {
      return true
    }
    return random() < FIRST_PART + (1 - FIRST_PART) * (nowMs - recoveredAtMs) / RAMP_MS
  })
  return kept.length > 0 ? kept : candidates
}

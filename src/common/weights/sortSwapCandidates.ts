import type { SwapCandidate } from './SwapCandidate.js'

/**
 * Sorts engines into the order in which they load new weights. Engines with failed loads come last, so that
 * they do not delay the others. Among the rest, engines whose weights exceed the staleness bound come first,
 * because samples on them are cancelled in any case; then those with the fewest requests in flight, so that few
 * samples are interrupted; then the fastest, which restore the most capacity.
 */
export function sortSwapCandidates (candidates: readonly SwapCandidate[]): SwapCandidate[] {
  return [...candidates].sort((a, b) =>
    a.failures - b.failures || Number(exceedsStalenessBound(b)) - Number(exceedsStalenessBound(a)) ||
    estimateRunning(a) - estimateRunning(b) || a.engine.unitTimeMs - b.engine.unitTimeMs)
}

function exceedsStalenessBound ({ lag, target }: SwapCandidate): boolean {
  return lag > target.stalenessBound
}

/** Estimates the requests of all entries in flight; the maximum is used because the engine's load report may be outdated. */
function estimateRunning ({ engine }: SwapCandidate): number {
  const { outstanding, peerOutstanding, load } = engine
  return Math.max(outstanding + peerOutstanding, (load?.running ?? 0) + (load?.waiting ?? 0))
}

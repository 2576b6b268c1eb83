import type { SwapCandidate } from './SwapCandidate.js'

/**
 * Order in which engines load new weights. Engines on which loads failed come last, so that they do not
 * hold up the others. Engines whose tokens are out of the staleness bound come
 * first among the rest, because samples on them are cancelled in any case; then those with the fewest requests in
 * flight, so that few samples are interrupted; then the fastest, which restore the most capacity.
 */
export function sortSwapCandidates (candidates: readonly SwapCandidate[]): SwapCandidate[] {
  return [...candidates].sort((a, b) =>
    a.failures - b.failures || Number(exceedsStalenessBound(b)) - Number(exceedsStalenessBound(a)) ||
    estimateRunning(a) - estimateRunning(b) || a.engine.unitTimeMs - b.engine.unitTimeMs)
}

function exceedsStalenessBound ({ lag, target }: SwapCandidate): boolean {
  return lag > target.stalenessBound
}

/** Requests in flight by every entry; the engine's own report may be late, so the larger one counts. */
function estimateRunning ({ engine }: SwapCandidate): number {
  const { outstanding, peerOutstanding, load } = engine
  return Math.max(outstanding + peerOutstanding, (load?.running ?? 0) + (load?.waiting ?? 0))
}

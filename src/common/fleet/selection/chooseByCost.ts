/** Largest relative increase by chance, so that processes with the same figures do not all choose the same upstream. */
const COST_JITTER = 0.1

/** Chooses the candidate with the lowest cost after a small random increase of each; undefined without candidates. */
export function chooseByCost<T> (candidates: readonly T[], costOf: (candidate: T) => number, random: () => number): T | undefined {
  let best: { candidate: T, cost: number } | undefined
  for (const candidate of candidates) {
    const cost = costOf(candidate) * (1 + COST_JITTER * random())
    if (best === undefined || cost < best.cost) best = { candidate, cost }
  }
  return best?.candidate
}

import { chooseByCost } from './chooseByCost.js'
import { estimateOwnRequestWeight } from './estimateOwnRequestWeight.js'
import { estimateResponseMs } from './estimateResponseMs.js'
import type { UpstreamKnowledge } from './UpstreamKnowledge.js'

/**
 * Chooses the upstream with the shortest expected response time for a call, a hedge or a reward call. Excluded upstreams
 * are used only if there is no other. `nowMs` is the time of the clock that the knowledge was recorded with.
 */
export function chooseUpstream<T extends { knowledge: UpstreamKnowledge }> (candidates: readonly T[], nowMs: number, random: () => number): T | undefined {
  const known = candidates.map(candidate => ({ candidate, knowledge: candidate.knowledge }))
  const healthy = known.filter(({ knowledge }) => nowMs >= knowledge.excludedUntilMs)
  const ownRequestWeight = estimateOwnRequestWeight(known.map(({ knowledge }) => knowledge.loadAverages))
  return chooseByCost(healthy.length > 0 ? healthy : known, ({ knowledge }) => estimateResponseMs(knowledge, nowMs, ownRequestWeight), random)?.candidate
}

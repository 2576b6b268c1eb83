import type { EngineView } from '../run/EngineView.js'

/** Cost factor of an engine that has the prompt prefix of the group in its cache. */
const CACHED_PREFIX_FACTOR = 0.92
/** Relative slow-down of each run for every other run at the engine. */
const SLOWDOWN_PER_RUN = 0.01

/** Relative cost of a full KV cache. It spreads long items over engines of similar speed before the first one is full. */
const KV_USE_WEIGHT = 0.25

interface EngineRequirements {
  minVersion: number
  /** Version that the existing output came from; set if one item may not mix versions. */
  requiredVersion?: number
  /** KV cache that the item is expected to need, in tokens. */
  kvTokens: number
  /** Engines at which this item failed or was refused; chosen only if no other engine is available. */
  deprioritised: ReadonlySet<string>
  /** Engines that have the prompt prefix of the group in their cache. */
  withCachedPrefix: ReadonlySet<string>
}

/** Chooses the engine with a free slot on which the item is expected to complete first. */
export function chooseEngine (engines: readonly EngineView[], requirements: EngineRequirements): EngineView | undefined {
  const compatible = engines.filter(engine => engine.freeSlots > 0 && !engine.isLoading && hasCompatibleVersion(engine.version, requirements))
  const preferred = compatible.filter(engine => !engine.isExcluded && !requirements.deprioritised.has(engine.id))
  const available = compatible.filter(engine => !engine.isExcluded)
  return findLowestCost(preferred, requirements) ?? findLowestCost(available, requirements)
}

function hasCompatibleVersion (version: number, requirements: EngineRequirements): boolean {
  return version >= requirements.minVersion && (requirements.requiredVersion === undefined || version === requirements.requiredVersion)
}

/**
 * Cost factor for the KV cache of an engine, which preempts its newest runs when the cache is full. The final
 * size of a run is hard to predict, so a shortfall raises the cost in proportion and never excludes the engine.
 */
function kvCostFactor (engine: EngineView, requirements: EngineRequirements): number {
  if (!Number.isFinite(engine.kvCapacityTokens)) return 1
  const shortfallShare = Math.max(0, requirements.kvTokens - engine.kvFreeTokens) / engine.kvCapacityTokens
  const usedShare = Math.min(1, Math.max(0, 1 - engine.kvFreeTokens / engine.kvCapacityTokens))
  return 1 + shortfallShare + KV_USE_WEIGHT * usedShare
}

function findLowestCost (engines: readonly EngineView[], requirements: EngineRequirements): EngineView | undefined {
  const cost = (engine: EngineView): number =>
    engine.eventIntervalMs * (1 + SLOWDOWN_PER_RUN * engine.running) * kvCostFactor(engine, requirements) * (requirements.withCachedPrefix.has(engine.id) ? CACHED_PREFIX_FACTOR : 1)
  return engines.reduce<EngineView | undefined>((best, engine) => best === undefined || cost(engine) < cost(best) ? engine : best, undefined)
}

import type { EngineView } from '../run/EngineView.js'

/** Advantage of an engine that keeps the shared part of the prompt. */
const AFFINITY_FACTOR = 0.92
/** Slow-down of each stream by one more that runs beside it. */
const SHARE_PER_RUNNING = 0.01

/** Spreads long items over engines of about the same speed before the first is full. */
const SPREAD_WEIGHT = 0.25

interface EngineRequirements {
  minVersion: number
  /** The only version that may go on with what has been generated. */
  requiredVersion?: number
  /** Memory that the item is expected to need. */
  kvTokens: number
  /** Engines that broke off this item; used when there is no other. */
  deprioritised: ReadonlySet<string>
  /** Engines that keep the shared part of the prompt. */
  withCachedPrefix: ReadonlySet<string>
}

/** Chooses the engine with a free slot on which the item ends soonest. */
export function chooseEngine (engines: readonly EngineView[], wish: EngineRequirements): EngineView | undefined {
  const fitting = engines.filter(engine => engine.freeSlots > 0 && !engine.isLoading && fitsVersion(engine.version, wish))
  const sound = fitting.filter(engine => !engine.isExcluded && !wish.deprioritised.has(engine.id))
  const rest = fitting.filter(engine => !engine.isExcluded)
  return cheapest(sound, wish) ?? cheapest(rest, wish)
}

function fitsVersion (version: number, wish: EngineRequirements): boolean {
  return version >= wish.minVersion && (wish.requiredVersion === undefined || version === wish.requiredVersion)
}

/**
 * An engine that runs out of memory puts back its newest runs. What its runs need in the end is known badly,
 * so that too little memory makes an engine dearer by the share that lacks, and never excludes it.
 */
function memoryFactor (engine: EngineView, wish: EngineRequirements): number {
  if (!Number.isFinite(engine.kvCapacityTokens)) return 1
  const lackingShare = Math.max(0, wish.kvTokens - engine.kvFreeTokens) / engine.kvCapacityTokens
  const usedShare = Math.min(1, Math.max(0, 1 - engine.kvFreeTokens / engine.kvCapacityTokens))
  return 1 + lackingShare + SPREAD_WEIGHT * usedShare
}

function cheapest (engines: readonly EngineView[], wish: EngineRequirements): EngineView | undefined {
  const cost = (engine: EngineView): number =>
    engine.eventIntervalMs * (1 + SHARE_PER_RUNNING * engine.running) * memoryFactor(engine, wish) * (wish.withCachedPrefix.has(engine.id) ? AFFINITY_FACTOR : 1)
  return engines.reduce<EngineView | undefined>((best, engine) => best === undefined || cost(engine) < cost(best) ? engine : best, undefined)
}

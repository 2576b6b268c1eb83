import type { EngineVersionView } from './EngineVersionView.js'

interface VersionLoadPlanInput {
  engines: readonly EngineVersionView[]
  newestVersion: number
  /** Time since the newest version was announced. */
  announcedForMs: number
  /** Number of items that wait for an engine of this model. */
  waitingItemCount: number
  /** Highest minimum version of the open batches of the model; undefined without an open batch. */
  minVersion: number | undefined
  /** Number of further engines of the service that may start to load now. */
  freeLoadSlots: number
}

/** The batch for a new version arrives just after its announcement; idle engines that can run it do not load during this time. */
const BATCH_ARRIVAL_MS = 900

/**
 * Chooses the engines of a model that start to load its newest version now. Engines whose version the open batch
 * does not accept come first, but not while they run items of an earlier batch whose output must come from one
 * version. The others load only when they are idle and no item waits: while the last items of a batch complete and
 * while the trainer trains.
 */
export function planVersionLoads (input: VersionLoadPlanInput): string[] {
  const { engines, newestVersion, minVersion, waitingItemCount, announcedForMs, freeLoadSlots } = input
  const outdated = engines.filter(engine => engine.version < newestVersion && !engine.isLoading)
  const incompatible = outdated.filter(engine => minVersion !== undefined && engine.version < minVersion && engine.runningSingleVersion === 0)
  const mayLoadIdleEngines = waitingItemCount === 0 && announcedForMs >= BATCH_ARRIVAL_MS
  const idle = outdated.filter(engine => !incompatible.includes(engine) && engine.running === 0 && mayLoadIdleEngines)
  // The fastest engines come first, because they run the longest items.
  incompatible.sort((a, b) => a.eventIntervalMs - b.eventIntervalMs)
  idle.sort((a, b) => a.version - b.version || a.eventIntervalMs - b.eventIntervalMs)
  return [...incompatible, ...idle].slice(0, Math.max(0, freeLoadSlots)).map(engine => engine.id)
}

import type { EngineVersionView } from './EngineVersionView.js'

interface VersionLoadPlanInput {
  engines: readonly EngineVersionView[]
  newestVersion: number
  /** For how long the newest version has been named. */
  announcedForMs: number
  /** Items that wait for an engine of this model. */
  waitingItemCount: number
  /** Oldest version that the newest open batch accepts; undefined without an open batch. */
  minVersion: number | undefined
  /** Engines of the service that may still begin to load now. */
  freeLoadSlots: number
}

/** The batch for a new version arrives just after its name; engines that could serve it stay free for it so long. */
const ARRIVAL_GRACE_MS = 900

/**
 * Chooses the engines of a model that load its newest version now. Engines that the open batch cannot use
 * come first. Those that it can use stay at work, and load when they are idle and nothing waits for them:
 * in the tail of a batch and while the trainer trains.
 */
export function planVersionLoads (situation: VersionLoadPlanInput): string[] {
  const { engines, newestVersion, minVersion, waitingItemCount: waiting, announcedForMs: namedForMs, freeLoadSlots: freeLoads } = situation
  const behind = engines.filter(engine => engine.version < newestVersion && !engine.isLoading)
  const useless = behind.filter(engine => minVersion !== undefined && engine.version < minVersion)
  const mayLoadIdle = waiting === 0 && namedForMs >= ARRIVAL_GRACE_MS
  const idle = behind.filter(engine => !useless.includes(engine) && engine.running === 0 && mayLoadIdle)
  // The fastest come first: the longest items wait for them.
  useless.sort((a, b) => a.eventIntervalMs - b.eventIntervalMs)
  idle.sort((a, b) => a.version - b.version || a.eventIntervalMs - b.eventIntervalMs)
  return [...useless, ...idle].slice(0, Math.max(0, freeLoads)).map(engine => engine.id)
}

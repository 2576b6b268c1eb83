import type { EngineView } from '../run/EngineView.js'

/** Counts a run that starts now at an engine in all views of it; each model of a service has its own view of the same slots. */
export function reserveSlot (views: Iterable<readonly EngineView[]>, engineId: string, kvTokens: number): void {
  for (const engines of views) {
    const engine = engines.find(({ id }) => id === engineId)
    if (engine === undefined) continue
    engine.freeSlots -= 1
    engine.running += 1
    engine.kvFreeTokens -= kvTokens
  }
}

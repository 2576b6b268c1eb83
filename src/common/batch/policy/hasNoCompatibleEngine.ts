import type { EngineView } from '../run/EngineView.js'
import type { ItemState } from '../record/ItemState.js'

/** Whether no engine has the version that generated the output of an item, nor loads one that may be it. */
export function hasNoCompatibleEngine (state: ItemState, engines: readonly EngineView[]): boolean {
  const version = state.progress.versions.at(-1)
  return version !== undefined && !engines.some(engine => engine.version === version || (engine.version < version && engine.isLoading))
}

import type { EngineView } from '../run/EngineView.js'
import type { ItemState } from '../record/ItemState.js'

/** Whether every engine has already loaded a newer version than the one that generated the output of an item. */
export function hasNoCompatibleEngine (state: ItemState, engines: readonly EngineView[]): boolean {
  const version = state.progress.versions.at(-1)
  return version !== undefined && !engines.some(engine => engine.version <= version)
}

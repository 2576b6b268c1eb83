import type { EngineView } from '../run/EngineView.js'
import type { ItemState } from '../record/ItemState.js'

/** Whether no engine has the version any more under which the text of an item began. */
export function hasNoCompatibleEngine (state: ItemState, engines: readonly EngineView[]): boolean {
  const version = state.progress.versions.at(-1)
  return version !== undefined && !engines.some(engine => engine.version <= version)
}

import type { ILogger } from '../../metrics/ILogger.js'
import type { Route } from '../../routing/Route.js'
import type { Batch } from '../Batch.js'
import { hasMixedVersions } from '../policy/hasMixedVersions.js'
import { ProgressCache } from '../ProgressCache.js'
import type { ItemState } from '../record/ItemState.js'

/** Decides which output an item starts from: that of an ended batch, its own, or none. */
export class ItemPreparer {
  private readonly _cache = new ProgressCache()

  constructor (private readonly _logger: ILogger) {}

  /** Keeps the output of an item whose batch has ended. */
  keep ({ spec }: Batch, state: ItemState): void {
    this._cache.put(spec, state.item.id, state.progress)
  }

  /** Reuses the output of an ended batch, and discards output of more versions than the route allows. */
  prepare (batch: Batch, state: ItemState, route: Route): void {
    this._reuse(batch, state, route)
    if (hasMixedVersions(state, route)) this.restart(state)
  }

  restart (state: ItemState): void {
    this._logger.info({ item: state.item.id, versions: state.progress.versions.join(','), events: state.progress.events.length }, 'item_restarted')
    state.restart()
  }

  private _reuse (batch: Batch, state: ItemState, route: Route): void {
    if (state.progress.events.length > 0 || state.progress.isComplete) return
    const cached = this._cache.take(batch.spec, state.item.id, route.isSingleVersion)
    if (cached === undefined) return
    state.progress = cached
    this._logger.info({ batch: batch.spec.id, item: state.item.id, events: cached.events.length, complete: cached.isComplete }, 'item_progress_reused')
  }
}

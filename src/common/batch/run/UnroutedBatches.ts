import type { Batch } from '../Batch.js'
import type { IConfigSource } from '../../routing/IConfigSource.js'
import type { ItemState } from '../record/ItemState.js'
import type { ResultWriter } from './ResultWriter.js'

/** Time for which items wait for a route, since the operator may put it back. */
const ROUTE_WAIT_MS = 10_000

/** Ends the waiting items of open batches whose route has been removed, since no engine may run them any more. */
export class UnroutedBatches {
  /** `performance.now()` since which a batch has had no route. */
  private readonly _unroutedSinceMs = new WeakMap<Batch, number>()

  constructor (private readonly _results: ResultWriter, private readonly _configSource: IConfigSource) {}

  /** Records that a batch has a route. */
  clear (batch: Batch): void {
    this._unroutedSinceMs.delete(batch)
  }

  /**
   * Records that a batch has no route. Its waiting items get their results once the newest configuration is known to
   * have had none for the waiting time. A process that cannot read the configuration does not know what was removed.
   */
  check (batch: Batch): void {
    const { upToDateAtMs } = this._configSource
    if (!Number.isFinite(upToDateAtMs)) return
    const sinceMs = this._unroutedSinceMs.get(batch) ?? performance.now()
    this._unroutedSinceMs.set(batch, sinceMs)
    if (upToDateAtMs - sinceMs < ROUTE_WAIT_MS) return
    for (const state of batch.items) {
      if (state.status === 'waiting') this._finish(batch, state)
    }
  }

  private _finish (batch: Batch, state: ItemState): void {
    if (isValidResult(state)) this._results.complete(batch, state)
    else this._results.abort(batch, state, 'route removed')
  }
}

/** Whether the output is a valid result under any route; the removed one may have allowed a single version only. */
function isValidResult ({ item, progress }: ItemState): boolean {
  return progress.isComplete && progress.versions.length === 1 && item.rewardCall === undefined
}

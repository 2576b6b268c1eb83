import type { ILogger } from '../../metrics/ILogger.js'
import type { IMetrics } from '../../metrics/IMetrics.js'
import type { Batch } from '../Batch.js'
import type { IBatchStore } from '../IBatchStore.js'
import type { BatchResult } from '../record/BatchResult.js'
import type { ItemState } from '../record/ItemState.js'

/** Stores the results of items. */
export class ResultWriter {
  constructor (private readonly _batches: IBatchStore, private readonly _logger: ILogger, private readonly _metrics: IMetrics) {}

  /** Stores the output of an item as its result; `score` is absent if the item has no reward call. */
  complete (batch: Batch, state: ItemState, score?: string): void {
    const { events, versions } = state.progress
    this._write(batch, state, { itemId: state.item.id, state: 'completed', text: events.join('\n'), versions: [...versions], score })
  }

  /** Stores the result of an item with a reward call, which failed for good if there is no score. */
  finishScored (batch: Batch, state: ItemState, score: string | undefined): void {
    if (score === undefined) this.abort(batch, state, 'reward calls failed')
    else this.complete(batch, state, score)
  }

  /** Stores that an item has no result. */
  abort (batch: Batch, state: ItemState, reason: string): void {
    if (state.status === 'finished') return
    this._logger.warn({ batch: batch.spec.id, item: state.item.id, failures: state.failures, reason }, 'item_aborted')
    this._write(batch, state, { itemId: state.item.id, state: 'aborted', text: '', versions: [] })
  }

  private _write (batch: Batch, state: ItemState, result: BatchResult): void {
    if (state.status === 'finished') return
    state.status = 'finished'
    this._batches.addResult(batch, result).then(stored => {
      if (stored.isErr()) this._logger.error({ batch: batch.spec.id, item: state.item.id, reason: stored.error.message }, 'result_not_stored')
      this._metrics.count('batch_results', { state: result.state })
    }).catch((fault: unknown) => this._logger.error({ item: state.item.id, reason: String(fault) }, 'result_fault'))
  }
}

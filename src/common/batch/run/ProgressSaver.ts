import type { ILogger } from '../../metrics/ILogger.js'
import type { Batch } from '../Batch.js'
import type { IBatchStore } from '../IBatchStore.js'
import type { ItemRun } from './ItemRun.js'
import type { ItemState } from '../record/ItemState.js'

/** What is generated in this time is lost with a leader at most. */
const SAVE_INTERVAL_MS = 250
/** Shorter items are cheaper to run again than to save. */
const MIN_EVENTS = 8

/** Makes the events of long runs durable while they run, so that the next leader goes on behind them. */
export class ProgressSaver {
  private _savedAtMs = performance.now()
  private _isBusy = false

  constructor (private readonly _store: IBatchStore, private readonly _logger: ILogger) {}

  /** Saves what is new since the last time, unless the store is still busy with that. */
  saveIfDue (runs: Iterable<ItemRun>): void {
    if (this._isBusy || performance.now() - this._savedAtMs < SAVE_INTERVAL_MS || this._store.failingForMs() > 0) return
    this._savedAtMs = performance.now()
    const entries = [...runs].filter(run => !run.isCancelled && run.state.progress.events.length >= MIN_EVENTS)
    this.save(entries.map(run => ({ batch: run.batch, state: run.state })))
      .catch((fault: unknown) => this._logger.error({ reason: String(fault) }, 'progress_save_fault'))
  }

  async save (entries: ReadonlyArray<{ batch: Batch, state: ItemState }>): Promise<void> {
    const fresh = entries.filter(({ state }) => state.progress.lastEventId > state.savedEventId)
    if (fresh.length === 0) return
    this._isBusy = true
    const saved = await this._store.saveProgress(fresh)
    this._isBusy = false
    if (saved.isErr()) this._logger.warn({ items: fresh.length, reason: saved.error.message }, 'progress_not_saved')
  }
}

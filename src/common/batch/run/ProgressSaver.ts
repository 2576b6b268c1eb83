import type { ILogger } from '../../metrics/ILogger.js'
import type { Batch } from '../Batch.js'
import type { IBatchStore } from '../IBatchStore.js'
import type { ItemRun } from './ItemRun.js'
import type { ItemState } from '../record/ItemState.js'

/** Limits the output that is lost when the leader fails to that of about one interval. */
const SAVE_INTERVAL_MS = 250
/** Items with fewer events are cheaper to run again than to save. */
const MIN_EVENTS = 8

/** Saves the events of long runs while they are in flight, so that the next leader can resume after them. */
export class ProgressSaver {
  private _savedAtMs = performance.now()
  private _isSaving = false

  constructor (private readonly _store: IBatchStore, private readonly _logger: ILogger) {}

  /**
   * Saves new events once per interval, unless the last save is still in flight or the store is failing. `complete` are
   * items whose output is complete and has no result yet.
   */
  saveIfDue (runs: Iterable<ItemRun>, complete: ReadonlyArray<{ batch: Batch, state: ItemState }>): void {
    if (this._isSaving || performance.now() - this._savedAtMs < SAVE_INTERVAL_MS || this._store.failingForMs() > 0) return
    this._savedAtMs = performance.now()
    const savedRuns = [...runs].filter(run => !run.isCancelled && run.state.progress.events.length >= MIN_EVENTS)
    this.save([...savedRuns.map(run => ({ batch: run.batch, state: run.state })), ...complete])
      .catch((fault: unknown) => this._logger.error({ reason: String(fault) }, 'progress_save_fault'))
  }

  /** Saves the events that were added to these items since they were last saved. */
  async save (items: ReadonlyArray<{ batch: Batch, state: ItemState }>): Promise<void> {
    const changed = items.filter(({ state }) => state.hasUnsavedProgress)
    if (changed.length === 0) return
    this._isSaving = true
    const result = await this._store.saveProgress(changed).finally(() => { this._isSaving = false })
    if (result.isErr()) this._logger.warn({ items: changed.length, reason: result.error.message }, 'progress_not_saved')
  }
}

import { Disposable } from '../../kernel/Disposable.js'
import { toDisposable } from '../../kernel/toDisposable.js'
import type { Batch } from '../Batch.js'
import type { IBatchStore } from '../IBatchStore.js'

/** A runner without engines: at a fixed interval, each open batch gets progress, its next result, or its end. */
export class ResultRunner extends Disposable {
  private _round = 0

  constructor (
    private readonly _batches: IBatchStore,
    /** Part of each text, so that texts of different terms differ. */
    private readonly _writer: string,
    intervalMs: number,
    /** Whether a batch is to be ended after its results in this round. */
    private readonly _endsBatch: (batch: Batch, round: number) => boolean
  ) {
    super()
    const timer = setInterval(() => this._tick(), intervalMs)
    this._register(toDisposable(() => clearInterval(timer)))
  }

  handoffProgress (): never[] {
    return []
  }

  private _tick (): void {
    this._round += 1
    for (const batch of this._batches.all()) if (!batch.isEnded) this._advance(batch)
  }

  private _advance (batch: Batch): void {
    const state = batch.items.find(item => item.status !== 'finished')
    if (state === undefined || this._endsBatch(batch, this._round)) return this._ignore(this._batches.end(batch))
    if (this._round % 2 === 1) {
      state.progress.events.push(`${this._writer}:${this._round}`)
      state.progress.lastEventId += 1
      return this._ignore(this._batches.saveProgress([{ batch, state }]))
    }
    state.status = 'finished'
    this._ignore(this._batches.addResult(batch, { itemId: state.item.id, state: 'completed', text: `${this._writer}/${state.item.id}`, versions: [1] }))
  }

  /** A write that fails is the concern of the next term. */
  private _ignore (write: Promise<unknown>): void {
    write.catch(() => undefined)
  }
}

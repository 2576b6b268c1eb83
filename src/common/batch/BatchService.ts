import type { Result } from 'neverthrow'
import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { ILeadership } from '../store/ILeadership.js'
import type { IStoreClient } from '../store/IStoreClient.js'
import type { StoreError } from '../store/StoreError.js'
import type { Batch } from './Batch.js'
import type { BatchItem } from './record/BatchItem.js'
import type { BatchReadOutcome } from './BatchReadOutcome.js'
import type { BatchRunner } from './run/BatchRunner.js'
import type { BatchSpec } from './record/BatchSpec.js'
import { BatchStore } from './BatchStore.js'
import type { IVersionOrderStore } from '../version/IVersionOrderStore.js'
import type { HandoffProgress } from './record/HandoffProgress.js'
import type { IBatchStore } from './IBatchStore.js'

const CLEANUP_INTERVAL_MS = 5000
/** Pause before the store is read again after a failed restore. */
const RESTORE_PAUSE_MS = 150
/** Result texts in one response, in characters. */
const MAX_PAGE_CHARS = 700_000
/** Longest wait for a record of a request to become durable. */
const DURABLE_WAIT_MS = 2500
/** Longest wait for the progress of all runs to become durable at a planned stop. */
const HAND_OVER_MS = 600
/** A store that has failed for so long is not waited for. */
const STORE_DOWN_MS = 600

type Work = 'accepted' | 'refused' | 'unknown'

interface Term { epoch: number, store: BatchStore, runner?: BatchRunner, isReady: boolean }

/** Serves batches while this entry is the leader. */
export class BatchService extends Disposable {
  private readonly _onProgressLeft = this._register(new Emitter<HandoffProgress>())
  /** Fires when the leadership was lost while items were running. */
  readonly onHandoffProgress = this._onProgressLeft.event
  private _term?: Term

  constructor (
    private readonly _client: IStoreClient,
    private readonly _leadership: ILeadership,
    private readonly _createRunner: (store: IBatchStore & IVersionOrderStore, epoch: number) => BatchRunner,
    private readonly _keepMs: number,
    private readonly _logger: ILogger
  ) {
    super()
    this._register(_leadership.onGained(epoch => {
      this._begin(epoch).catch((fault: unknown) => this._logger.error({ epoch, reason: String(fault) }, 'term_fault'))
    }))
    this._register(_leadership.onLost(() => this._onLost()))
    const timer = setInterval(() => {
      this._term?.store.removeExpired(Date.now()).catch((fault: unknown) => this._logger.error({ reason: String(fault) }, 'cleanup_fault'))
    }, CLEANUP_INTERVAL_MS)
    this._register(toDisposable(() => clearInterval(timer)))
    this._register(toDisposable(() => this._finishTerm()))
  }

  /** Whether this entry can answer for batches; also true while the store is away. */
  get isServing (): boolean {
    return this._term?.isReady === true
  }

  get runner (): BatchRunner | undefined {
    return this._term?.runner
  }

  /** Accepts a batch; `unknown` when the store has not answered in time. */
  async submit (spec: BatchSpec, items: readonly BatchItem[]): Promise<Work> {
    const store = this._readyStore()
    if (store === undefined) return 'refused'
    if (store.find(spec.id) !== undefined) return 'accepted'
    if (store.failingForMs() > STORE_DOWN_MS) return 'refused'
    const outcome = await this._inTime(store.submit(spec, items))
    this._logger.info({ batch: spec.id, model: spec.model, step: spec.step, min_version: spec.minVersion, items: items.length, outcome }, 'batch_submitted')
    return outcome
  }

  /** Results from a position on; waits up to `waitMs` for the first. */
  async read (id: string, after: number, waitMs: number): Promise<BatchReadOutcome> {
    const store = this._readyStore()
    const batch = store?.find(id)
    if (store === undefined || batch === undefined) return this._absent(store !== undefined)
    if (batch.results.length <= after && mayGrow(batch)) await this._nextResult(store, batch, after, waitMs)
    if (batch.unloadedTextCount > after) {
      const loaded = await store.loadTexts(batch)
      if (loaded.isErr()) {
        this._logger.warn({ batch: id, reason: loaded.error.message }, 'batch_texts_not_loaded')
        return { kind: 'unsure' }
      }
    }
    const results = []
    let chars = 0
    for (let position = after; position < batch.results.length; position++) {
      const result = batch.results[position]
      if (result === undefined) break
      chars += result.text.length
      if (results.length > 0 && chars > MAX_PAGE_CHARS) break
      results.push(result)
    }
    // Another leader may have listed more since this one lost touch with the store.
    if (results.length === 0 && this._leadership.validEpoch() === undefined) return { kind: 'unsure' }
    return { kind: 'results', total: batch.spec.itemCount, next: after + results.length, results }
  }

  /** Body of an item of a batch that has not ended. */
  findItem (id: string, itemId: string): { kind: 'body', bodyBase64: string } | { kind: 'absent' | 'unsure' } {
    const store = this._readyStore()
    const batch = store?.find(id)
    if (batch === undefined) return this._absent(store !== undefined)
    const state = batch.isEnded ? undefined : batch.find(itemId)
    return state === undefined ? { kind: 'absent' } : { kind: 'body', bodyBase64: state.item.bodyBase64 }
  }

  /** Ends a batch; repeated ends have no further effect. */
  async end (id: string): Promise<Work | 'absent'> {
    const store = this._readyStore()
    const batch = store?.find(id)
    if (store === undefined || batch === undefined) return this._absent(store !== undefined).kind === 'absent' ? 'absent' : 'refused'
    if (batch.isEnded) return 'accepted'
    const outcome = await this._inTime(store.end(batch))
    this._logger.info({ batch: id, results: batch.results.length, items: batch.spec.itemCount, outcome }, 'batch_ended')
    return outcome
  }

  /** Stops the runs and makes what they generated durable, for the next leader. */
  async handOff (): Promise<void> {
    const term = this._term
    if (term?.runner === undefined) return
    const items = await Promise.race([term.runner.handOff(), new Promise<undefined>(resolve => { setTimeout(() => resolve(undefined), HAND_OVER_MS) })])
    this._logger.info({ epoch: term.epoch, items }, items === undefined ? 'hand_over_incomplete' : 'batches_handed_over')
  }

  /** Goes on behind what the leader before has passed on; false while this entry is not ready. */
  acceptHandoff (left: HandoffProgress): boolean {
    const runner = this._term?.runner
    if (runner === undefined) return false
    const items = runner.acceptHandoff(left)
    this._logger.info({ epoch: this._term?.epoch, passed_on: left.length, items }, 'progress_adopted')
    return true
  }

  private _onLost (): void {
    const left = this._term?.runner?.handoffProgress() ?? []
    this._finishTerm()
    if (left.length > 0) this._onProgressLeft.fire(left)
  }

  private _readyStore (): BatchStore | undefined {
    return this._term?.isReady === true ? this._term.store : undefined
  }

  /** Only a leader in touch with the store may say that a batch does not exist. */
  private _absent (isReady: boolean): { kind: 'absent' | 'unsure' } {
    return { kind: isReady && this._leadership.validEpoch() !== undefined ? 'absent' : 'unsure' }
  }

  private async _begin (epoch: number): Promise<void> {
    this._finishTerm()
    const term: Term = { epoch, store: new BatchStore(this._client, epoch, this._keepMs, this._logger), isReady: false }
    this._term = term
    for (;;) {
      const opened = await term.store.open()
      if (this._term !== term) return
      if (opened.isOk()) break
      this._logger.warn({ epoch, reason: opened.error.message }, 'batches_not_restored')
      if (opened.error.kind === 'fenced') return
      await new Promise(resolve => setTimeout(resolve, RESTORE_PAUSE_MS))
    }
    term.isReady = true
    term.runner = this._createRunner(term.store, epoch)
  }

  private _finishTerm (): void {
    const term = this._term
    this._term = undefined
    term?.runner?.dispose()
    term?.store.dispose()
  }

  private async _nextResult (store: BatchStore, batch: Batch, after: number, waitMs: number): Promise<void> {
    if (waitMs <= 0) return
    await new Promise<void>(resolve => {
      const done = (): void => {
        clearTimeout(timer)
        subscription.dispose()
        resolve()
      }
      const timer = setTimeout(done, waitMs)
      const subscription = store.onChanged(changed => {
        if (changed === batch && (batch.results.length > after || !mayGrow(batch))) done()
      })
    })
  }

  private async _inTime (work: Promise<Result<unknown, StoreError>>): Promise<Work> {
    let timer: NodeJS.Timeout | undefined
    const late = new Promise<'unknown'>(resolve => { timer = setTimeout(() => resolve('unknown'), DURABLE_WAIT_MS) })
    const outcome = await Promise.race([late, work.then(result => result.isOk() ? 'accepted' as const : 'unknown' as const)])
    clearTimeout(timer)
    return outcome
  }
}

function mayGrow (batch: Batch): boolean {
  return !batch.isEnded && batch.results.length < batch.spec.itemCount
}

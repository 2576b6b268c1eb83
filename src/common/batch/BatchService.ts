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
import { isVisibleTo } from './isVisibleTo.js'
import { ResultPage } from './ResultPage.js'

const CLEANUP_INTERVAL_MS = 5000
/** Back-off after a failed restore. */
const RESTORE_BACKOFF_MS = 150
/** Time-out for the records of a request to become durable. */
const WRITE_TIMEOUT_MS = 2500
/** Time-out for the progress of all runs to become durable at a planned stop. */
const HANDOFF_TIMEOUT_MS = 600
/** Submissions and ends are refused at once after the store has failed for this time. */
const STORE_DOWN_MS = 600

/** `unknown` if the write timed out or failed, so that its records may or may not become durable. */
type WriteOutcome = 'accepted' | 'refused' | 'unknown'

/** Why a request for a batch gets no content; `absent` and `other_organisation` are final. */
type NotServedReason = 'not_serving' | 'unreadable' | 'being_submitted' | 'no_lease' | 'text_not_loaded' | 'absent' | 'other_organisation'

/** The time from gaining the leadership to losing it. */
interface Term { epoch: number, store: BatchStore, runner?: BatchRunner, isReady: boolean }

/**
 * Accepts, runs and reads batches while this entry is the leader. For any organisation but the one that submitted it, a
 * batch does not exist.
 */
export class BatchService extends Disposable {
  private readonly _onHandoffProgress = this._register(new Emitter<HandoffProgress>())
  /** Fires with the output that has no durable result when the leadership was lost. */
  readonly onHandoffProgress = this._onHandoffProgress.event
  private _term?: Term

  constructor (
    private readonly _client: IStoreClient,
    private readonly _leadership: ILeadership,
    private readonly _createRunner: (store: IBatchStore & IVersionOrderStore, epoch: number) => BatchRunner,
    private readonly _retentionMs: number,
    private readonly _logger: ILogger
  ) {
    super()
    this._register(_leadership.onGained(epoch => {
      this._startTerm(epoch).catch((fault: unknown) => {
        this._logger.error({ epoch, reason: String(fault) }, 'term_fault')
        this._leadership.resign(epoch, 'term did not start')
      })
    }))
    this._register(_leadership.onLost(() => this._onLeadershipLost()))
    const timer = setInterval(() => {
      this._term?.store.removeExpired(Date.now()).catch((fault: unknown) => this._logger.error({ reason: String(fault) }, 'cleanup_fault'))
    }, CLEANUP_INTERVAL_MS)
    this._register(toDisposable(() => clearInterval(timer)))
    this._register(toDisposable(() => this._endTerm()))
  }

  /** Whether this entry serves batches; also true while the store is unavailable. */
  get isServing (): boolean {
    return this._term?.isReady === true
  }

  /** All batches of this leader; none at other entries. */
  get batches (): Iterable<Batch> {
    return this._readyStore()?.all() ?? []
  }

  get runner (): BatchRunner | undefined {
    return this._term?.runner
  }

  /**
   * Accepts a batch of an organisation once its records are durable. An id that another organisation uses is refused,
   * since its batch must not be reported as accepted.
   */
  async submit (spec: BatchSpec, items: readonly BatchItem[], organisation = spec.organisation): Promise<WriteOutcome> {
    const store = this._readyStore()
    if (store === undefined) return 'refused'
    const existing = store.find(spec.id)
    if (existing !== undefined) return this._acceptRepeated(existing, organisation)
    if (store.isUnreadable(spec.id)) return 'refused'
    // An earlier attempt may still become durable, so only a new submission can be refused.
    if (store.failingForMs() > STORE_DOWN_MS && !store.isSubmitting(spec.id)) return 'refused'
    // Another organisation may have submitted the id at the same moment, so the batch that is stored decides.
    const write = store.submit({ ...spec, organisation }, items)
    let outcome = await this._withTimeout(write)
    if (outcome === 'accepted') outcome = (await write).match(batch => this._acceptRepeated(batch, organisation), () => 'unknown')
    this._logger.info({ batch: spec.id, organisation, model: spec.model, step: spec.step, min_version: spec.minVersion, items: items.length, outcome }, 'batch_submitted')
    return outcome
  }

  /** Reads results from a position on; waits up to `waitMs` if there are none yet. */
  async read (id: string, position: number, waitMs: number, organisation?: string): Promise<BatchReadOutcome> {
    const fromPosition = Math.trunc(position)
    const store = this._readyStore()
    const batch = findVisible(store, id, organisation)
    if (store === undefined || batch === undefined) return this._absentOrUnavailable(id, store)
    // Without a valid lease the store is probably out of reach, so that waiting is in vain; another entry may serve.
    if (this._leadership.validEpoch() !== undefined) await this._prepareRead(store, batch, fromPosition, waitMs)
    const page = new ResultPage()
    const listed = batch.listedResults()
    for (const [offset, result] of listed.slice(fromPosition).entries()) {
      if (!batch.isTextLoaded(fromPosition + offset) || !page.add(result)) break
    }
    const { results } = page
    // Without a valid lease, another leader may have stored more results.
    if (results.length === 0 && (fromPosition < listed.length || this._leadership.validEpoch() === undefined)) {
      this._logNotServed(id, fromPosition < listed.length ? 'text_not_loaded' : 'no_lease')
      return { kind: 'unavailable' }
    }
    return { kind: 'results', total: batch.spec.itemCount, next: fromPosition + results.length, results }
  }

  /** Waits for a result if there is none to read, and for the texts of the results. */
  private async _prepareRead (store: BatchStore, batch: Batch, fromPosition: number, waitMs: number): Promise<void> {
    if (batch.listedResults().length <= fromPosition && expectsMoreResults(batch)) await this._waitForResult(store, batch, fromPosition, waitMs)
    if (batch.unloadedTextCount === 0) return
    const loaded = await store.loadTexts(batch, fromPosition, ResultPage.maxChars)
    if (loaded.isErr()) this._logger.warn({ batch: batch.spec.id, reason: loaded.error.message }, 'batch_texts_not_loaded')
  }

  /** Returns the body of an item of a batch that has not ended. */
  findItem (id: string, itemId: string, organisation?: string): { kind: 'body', bodyBase64: string } | { kind: 'absent' | 'unavailable' } {
    const store = this._readyStore()
    const batch = findVisible(store, id, organisation)
    if (batch === undefined) return this._absentOrUnavailable(id, store)
    const state = batch.isEnded ? undefined : batch.find(itemId)
    return state === undefined ? { kind: 'absent' } : { kind: 'body', bodyBase64: state.item.bodyBase64 }
  }

  /** Ends a batch; idempotent. */
  async end (id: string, organisation?: string): Promise<WriteOutcome | 'absent'> {
    const store = this._readyStore()
    const batch = findVisible(store, id, organisation)
    if (store === undefined || batch === undefined) return this._absentOrUnavailable(id, store).kind === 'absent' ? 'absent' : 'refused'
    if (batch.isEnded) return 'accepted'
    if (store.failingForMs() > STORE_DOWN_MS) return 'refused'
    const outcome = await this._withTimeout(store.end(batch))
    this._logger.info({ batch: id, results: batch.results.length, items: batch.spec.itemCount, outcome }, 'batch_ended')
    return outcome
  }

  /** Cancels all runs and saves their output for the next leader. */
  async handOff (): Promise<void> {
    const term = this._term
    if (term?.runner === undefined) return
    const items = await Promise.race([term.runner.handOff(), new Promise<undefined>(resolve => { setTimeout(() => resolve(undefined), HANDOFF_TIMEOUT_MS) })])
    this._logger.info({ epoch: term.epoch, items }, items === undefined ? 'hand_over_incomplete' : 'batches_handed_over')
  }

  /** Resumes items from progress that the previous leader handed off; returns false while this entry is not ready. */
  acceptHandoff (progress: HandoffProgress): boolean {
    const runner = this._term?.runner
    if (runner === undefined) return false
    const items = runner.acceptHandoff(progress)
    this._logger.info({ epoch: this._term?.epoch, passed_on: progress.length, items }, 'progress_adopted')
    return true
  }

  private _acceptRepeated (batch: Batch, organisation: string | undefined): WriteOutcome {
    if (isVisibleTo(batch.spec, organisation)) return 'accepted'
    this._logger.warn({ batch: batch.spec.id, organisation }, 'batch_id_of_another_organisation')
    return 'refused'
  }

  private _onLeadershipLost (): void {
    const progress = this._term?.runner?.handoffProgress() ?? []
    this._endTerm()
    if (progress.length > 0) this._onHandoffProgress.fire(progress)
  }

  private _readyStore (): BatchStore | undefined {
    return this._term?.isReady === true ? this._term.store : undefined
  }

  /** Only a leader with a valid lease that could read all batches can tell that one does not exist. */
  private _absentOrUnavailable (id: string, store: BatchStore | undefined): { kind: 'absent' | 'unavailable' } {
    const reason = this._absenceReason(id, store)
    this._logNotServed(id, reason)
    return { kind: reason === 'absent' || reason === 'other_organisation' ? 'absent' : 'unavailable' }
  }

  private _absenceReason (id: string, store: BatchStore | undefined): NotServedReason {
    if (store === undefined) return 'not_serving'
    if (store.isUnreadable(id)) return 'unreadable'
    if (store.isSubmitting(id)) return 'being_submitted'
    if (this._leadership.validEpoch() === undefined) return 'no_lease'
    return store.find(id) === undefined ? 'absent' : 'other_organisation'
  }

  private _logNotServed (id: string, reason: NotServedReason): void {
    this._logger.warn({ batch: id, reason, epoch: this._term?.epoch }, 'batch_not_served')
  }

  private async _startTerm (epoch: number): Promise<void> {
    this._endTerm()
    const term: Term = { epoch, store: new BatchStore(this._client, epoch, this._retentionMs, this._logger), isReady: false }
    this._term = term
    // Without a journal this entry would renew the lease and serve no batch.
    term.store.onFenced(() => this._leadership.resign(epoch, 'journal is fenced'))
    for (;;) {
      const opened = await term.store.open()
      if (this._term !== term) return
      if (opened.isOk()) break
      this._logger.warn({ epoch, reason: opened.error.message }, 'batches_not_restored')
      await new Promise(resolve => setTimeout(resolve, RESTORE_BACKOFF_MS))
    }
    term.runner = this._createRunner(term.store, epoch)
    term.isReady = true
  }

  private _endTerm (): void {
    const term = this._term
    this._term = undefined
    term?.runner?.dispose()
    term?.store.dispose()
  }

  private async _waitForResult (store: BatchStore, batch: Batch, fromPosition: number, waitMs: number): Promise<void> {
    if (waitMs <= 0) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        subscription.dispose()
        resolve()
      }
      const timer = setTimeout(finish, waitMs)
      const subscription = store.onChanged(changed => {
        if (changed === batch && (batch.listedResults().length > fromPosition || !expectsMoreResults(batch))) finish()
      })
    })
  }

  private async _withTimeout (write: Promise<Result<unknown, StoreError>>): Promise<WriteOutcome> {
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<'unknown'>(resolve => { timer = setTimeout(() => resolve('unknown'), WRITE_TIMEOUT_MS) })
    const outcome = await Promise.race([timeout, write.then(toWriteOutcome)])
    clearTimeout(timer)
    return outcome
  }
}

function findVisible (store: BatchStore | undefined, id: string, organisation: string | undefined): Batch | undefined {
  const batch = store?.find(id)
  return batch !== undefined && isVisibleTo(batch.spec, organisation) ? batch : undefined
}

function expectsMoreResults (batch: Batch): boolean {
  return !batch.isEnded && batch.listedResults().length < batch.spec.itemCount
}

/** A rejected write has had no effect that counts, since the record that makes it count comes last. */
function toWriteOutcome (result: Result<unknown, StoreError>): WriteOutcome {
  if (result.isOk()) return 'accepted'
  return result.error.kind === 'rejected' ? 'refused' : 'unknown'
}

import { err, ok, type Result } from 'neverthrow'
import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import type { IEvent } from '../kernel/IEvent.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IStoreClient } from '../store/IStoreClient.js'
import { Journal } from '../store/Journal.js'
import type { KeyedRecord } from '../store/KeyedRecord.js'
import { readAllNewest } from '../store/readAllNewest.js'
import { SnapshotReader } from '../store/SnapshotReader.js'
import type { StoreError } from '../store/StoreError.js'
import { Batch } from './Batch.js'
import type { BatchItem } from './record/BatchItem.js'
import { BatchRecordCodec } from './BatchRecordCodec.js'
import type { BatchResult } from './record/BatchResult.js'
import type { BatchSpec } from './record/BatchSpec.js'
import type { IVersionOrderStore } from '../version/IVersionOrderStore.js'
import type { IBatchStore } from './IBatchStore.js'
import type { ItemState } from './record/ItemState.js'
import { TextLoader } from './TextLoader.js'

const WRITER = 'batches'
/** Texts of ended batches stay in memory for this time after the submission; later reads load them from the store. */
const TEXT_RETENTION_MS = 15_000
/** Texts that were read or loaded within this time are not evicted, since the next page of their batch is likely to be read. */
const TEXT_IDLE_MS = 5000
/** Added to the guaranteed retention, because the clocks of readers may differ. */
const RETENTION_MARGIN_MS = 30_000
/** A result that the store rejects is written again, because it has its position. */
const REJECTED_RETRY_MS = 500

/** Batch store on a journal that only the leader of one epoch writes. */
export class BatchStore extends Disposable implements IBatchStore, IVersionOrderStore {
  private readonly _onChanged = this._register(new Emitter<Batch>())
  readonly onChanged = this._onChanged.event
  private readonly _onEnded = this._register(new Emitter<Batch>())
  readonly onEnded = this._onEnded.event
  /** Batches by id, with the keys of their records. */
  private readonly _batches = new Map<string, { batch: Batch, keys: string[] }>()
  /** Time of the last version order to each engine, in Unix milliseconds. */
  private readonly _orderTimes = new Map<string, number>()
  /** Ids with records that cannot be read; their batches may have been accepted. */
  private _unreadableIds: ReadonlySet<string> = new Set()
  private readonly _submissions = new Map<string, Promise<Result<Batch, StoreError>>>()
  private _isRemoving = false
  private readonly _journal: Journal
  /** Reads the records of the previous writers; undefined until they are fenced. */
  private _snapshotReader?: SnapshotReader
  private readonly _codec: BatchRecordCodec
  private readonly _textLoader: TextLoader

  constructor (private readonly _client: IStoreClient, private readonly _epoch: number, private readonly _retentionMs: number, private readonly _logger: ILogger) {
    super()
    this._journal = new Journal(_client, BatchRecordCodec.topic, WRITER, _epoch, _logger)
    this._codec = new BatchRecordCodec(_logger)
    this._textLoader = this._register(new TextLoader(_client, BatchRecordCodec.topic, this._codec, _logger))
    this._register({ dispose: () => this._journal.close() })
  }

  /** Fires when a leader of a later epoch has fenced the journal, so that this store can write no more. */
  get onFenced (): IEvent<void> {
    return this._journal.onFenced
  }

  /**
   * Fences the previous writers and restores the batches that they wrote. After an error, it continues where it failed:
   * nothing is written between the fence and the end of the restore.
   */
  async open (): Promise<Result<void, StoreError>> {
    const startedAtMs = performance.now()
    if (this._snapshotReader === undefined) {
      const fenced = await this._journal.open()
      if (fenced.isErr()) return err(fenced.error)
      this._snapshotReader = new SnapshotReader(this._client, BatchRecordCodec.topic, { untilKey: BatchRecordCodec.firstTextKey })
    }
    const snapshot = await this._snapshotReader.read()
    if (snapshot.isErr()) return err(snapshot.error)
    this._snapshotReader = undefined
    for (const [id, restored] of this._codec.restore(snapshot.value.records)) this._batches.set(id, restored)
    this._handleUnrestored(snapshot.value.records)
    for (const { batch } of this._batches.values()) this._markResubmittedGroups(batch)
    for (const [engineId, orderedAtMs] of this._codec.restoreOrders(snapshot.value.records)) this._orderTimes.set(engineId, orderedAtMs)
    this._logger.info({ epoch: this._epoch, batches: this._batches.size, records: snapshot.value.records.length, duration_ms: Math.round(performance.now() - startedAtMs) }, 'batches_restored')
    return ok(undefined)
  }

  find (id: string): Batch | undefined {
    return this._batches.get(id)?.batch
  }

  /** Whether records of a batch exist that cannot be read, so that nobody can tell what it contains. */
  isUnreadable (id: string): boolean {
    return this._unreadableIds.has(id)
  }

  /** Whether a submission of a batch is being written, so that nobody can tell whether the batch exists. */
  isSubmitting (id: string): boolean {
    return this._submissions.has(id)
  }

  * all (): Iterable<Batch> {
    for (const { batch } of this._batches.values()) yield batch
  }

  async submit (spec: BatchSpec, items: readonly BatchItem[]): Promise<Result<Batch, StoreError>> {
    const existing = this.find(spec.id)
    if (existing !== undefined) return ok(existing)
    const pending = this._submissions.get(spec.id)
    if (pending !== undefined) return await pending
    const submission = this._submit(spec, items)
    this._submissions.set(spec.id, submission)
    const result = await submission
    this._submissions.delete(spec.id)
    return result
  }

  async addResult (batch: Batch, result: BatchResult): Promise<Result<void, StoreError>> {
    const position = batch.positionsAllocated++
    const records = this._codec.encodeResult(batch.spec.id, position, result)
    let written = await this._write(batch.spec.id, records)
    while (written.isErr() && written.error.kind === 'rejected') {
      await new Promise(resolve => setTimeout(resolve, REJECTED_RETRY_MS))
      written = await this._write(batch.spec.id, records)
    }
    if (written.isErr()) return written
    batch.addResult(position, { ...result, textRecords: this._codec.countTextRecords(result.text) })
    // The result holds the text now.
    batch.find(result.itemId)?.restart()
    this._onChanged.fire(batch)
    return written
  }

  async saveProgress (items: ReadonlyArray<{ batch: Batch, state: ItemState }>): Promise<Result<void, StoreError>> {
    const writes = items.map(async ({ batch, state }) => {
      const records = this._codec.encodeProgress(batch.spec.id, state)
      state.savedEventId = state.progress.lastEventId
      state.isCompletionSaved = state.progress.isComplete
      state.savedParts += 1
      const written = await this._write(batch.spec.id, records)
      // Later parts would not follow on any stored one.
      if (written.isErr()) state.markUnsaved()
      return written
    })
    const results = await Promise.all(writes)
    return results.find(result => result.isErr()) ?? ok(undefined)
  }

  async end (batch: Batch): Promise<Result<void, StoreError>> {
    if (batch.isEnded) return ok(undefined)
    const written = await this._write(batch.spec.id, this._codec.encodeEnd(batch, this._batches.get(batch.spec.id)?.keys ?? [], Date.now()))
    if (written.isErr()) return written
    if (!batch.isEnded) {
      batch.end(batch.incompleteGroups())
      this._onEnded.fire(batch)
      this._onChanged.fire(batch)
      batch.evictItems()
    }
    return written
  }

  lastOrderedAtMs (engineId: string): number | undefined {
    return this._orderTimes.get(engineId)
  }

  async recordOrder (engineId: string, orderedAtMs: number): Promise<boolean> {
    this._orderTimes.set(engineId, orderedAtMs)
    return (await this._journal.append(this._codec.encodeOrder(engineId, orderedAtMs))).isOk()
  }

  /**
   * Loads the texts that a response with the results from a position on needs, if the restore left them out or they
   * were evicted since. Fails soon rather than late if the store does not provide the first of them.
   */
  async loadTexts (batch: Batch, fromPosition: number, maxChars: number): Promise<Result<void, StoreError>> {
    return await this._textLoader.load(batch, fromPosition, maxChars)
  }

  failingForMs (): number {
    return this._journal.failingForMs()
  }

  /** Evicts texts that are unlikely to be read again, and removes batches whose retention has ended. */
  async removeExpired (nowMs: number): Promise<void> {
    this._evictIdleTexts(nowMs)
    if (this._isRemoving) return
    this._isRemoving = true
    await this._removeExpired(nowMs).finally(() => { this._isRemoving = false })
  }

  private _evictIdleTexts (nowMs: number): void {
    for (const batch of this.all()) {
      const areTextsIdle = batch.textsIdleMs() > TEXT_IDLE_MS && nowMs > batch.spec.submittedAtMs + TEXT_RETENTION_MS
      if (batch.isEnded && areTextsIdle) batch.evictTexts()
    }
  }

  private async _removeExpired (nowMs: number): Promise<void> {
    for (const [id, { batch, keys }] of this._batches) {
      if (batch.retentionLeftMs(this._retentionMs + RETENTION_MARGIN_MS, nowMs) > 0) continue
      // The restore leaves out texts, so the keys of those that an earlier leader wrote have to be read from the store.
      const texts = await this._readTexts(id)
      // Nobody would remove the texts once the batch has been removed, so it stays until they can be read.
      if (texts.isErr()) return
      this._batches.delete(id)
      if (!batch.isEnded) this._onEnded.fire(batch)
      const allKeys = new Set([...keys, ...texts.value.map(record => record.key)])
      const removed = await this._journal.append(this._codec.encodeRemoval([...allKeys]))
      this._logger.info({ batch: id, records: allKeys.size, ok: removed.isOk() }, 'batch_removed')
    }
  }

  private _handleUnrestored (records: readonly KeyedRecord[]): void {
    const { unreadableIds, abandonedKeys } = this._codec.findUnrestored(records, this._batches)
    this._unreadableIds = unreadableIds
    for (const id of unreadableIds) this._logger.error({ batch: id }, 'batch_unreadable')
    const behindGaps = this._codec.findResultsBehindGaps(this._batches)
    if (abandonedKeys.length + behindGaps.length === 0) return
    this._logger.info({ records: abandonedKeys.length, results_behind_gaps: behindGaps.length }, 'leftover_records_removed')
    // Precedes all results of this term.
    this._journal.append(this._codec.encodeRemoval([...abandonedKeys, ...behindGaps]))
      .catch((fault: unknown) => this._logger.error({ reason: String(fault) }, 'cleanup_fault'))
  }

  private async _readTexts (id: string): Promise<Result<KeyedRecord[], StoreError>> {
    const prefix = BatchRecordCodec.textKeyPrefix(id)
    // '0' is the character after '/', so the key range ends after the last text of the batch.
    const read = await readAllNewest(this._client, BatchRecordCodec.topic, { afterKey: prefix, untilKey: `${prefix.slice(0, -1)}0` })
    return read.map(({ records }) => records.filter(record => record.key.startsWith(prefix)))
  }

  private async _submit (spec: BatchSpec, items: readonly BatchItem[]): Promise<Result<Batch, StoreError>> {
    const records = this._codec.encodeSubmission(spec, items)
    const written = await this._journal.append(records)
    if (written.isErr()) return err(written.error)
    const batch = new Batch(spec, items)
    this._batches.set(spec.id, { batch, keys: records.map(record => record.key) })
    this._markResubmittedGroups(batch)
    this._onChanged.fire(batch)
    return ok(batch)
  }

  private async _write (id: string, records: ReadonlyArray<{ key: string, value?: Uint8Array }>): Promise<Result<void, StoreError>> {
    const written = await this._journal.append(records)
    if (written.isOk()) this._batches.get(id)?.keys.push(...records.map(record => record.key))
    return written
  }

  /** A later batch of the organisation and model resubmits incomplete groups under the same ids. */
  private _markResubmittedGroups (batch: Batch): void {
    for (const { batch: earlier } of this._batches.values()) {
      if (earlier === batch || earlier.spec.organisation !== batch.spec.organisation || earlier.spec.model !== batch.spec.model || earlier.spec.step >= batch.spec.step) continue
      for (const group of batch.itemsByGroup.keys()) {
        if (earlier.mayBeResubmitted(group)) batch.resubmittedGroups.add(group)
      }
    }
  }
}

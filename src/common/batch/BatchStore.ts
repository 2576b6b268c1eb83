import { err, ok, type Result } from 'neverthrow'
import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IStoreClient } from '../store/IStoreClient.js'
import { Journal } from '../store/Journal.js'
import type { KeyedRecord } from '../store/KeyedRecord.js'
import { readAllNewest } from '../store/readAllNewest.js'
import type { StoreError } from '../store/StoreError.js'
import { Batch } from './Batch.js'
import type { BatchItem } from './record/BatchItem.js'
import { BatchRecordCodec } from './BatchRecordCodec.js'
import type { BatchResult } from './record/BatchResult.js'
import type { BatchSpec } from './record/BatchSpec.js'
import type { IVersionOrderStore } from '../version/IVersionOrderStore.js'
import type { IBatchStore } from './IBatchStore.js'
import type { ItemState } from './record/ItemState.js'

/** Topic of all batches. */
const TOPIC = 'keyed.batches'
const WRITER = 'batches'
/** Texts of ended batches stay in memory so long after the submission; readers that come later wait for the store. */
const TEXTS_IN_MEMORY_MS = 15_000
/** Kept beyond the time for which results are promised, for readers with other clocks. */
const KEEP_MARGIN_MS = 30_000

/** IBatchStore on a journal that one leader writes in one epoch. */
export class BatchStore extends Disposable implements IBatchStore, IVersionOrderStore {
  private readonly _onChanged = this._register(new Emitter<Batch>())
  readonly onChanged = this._onChanged.event
  private readonly _onEnded = this._register(new Emitter<Batch>())
  readonly onEnded = this._onEnded.event
  private readonly _batches = new Map<string, { batch: Batch, keys: string[] }>()
  private readonly _orders = new Map<string, number>()
  private readonly _loading = new Map<Batch, Promise<Result<void, StoreError>>>()
  private readonly _submitting = new Map<string, Promise<Result<Batch, StoreError>>>()
  private readonly _journal: Journal
  private readonly _ledger: BatchRecordCodec

  constructor (private readonly _client: IStoreClient, epoch: number, private readonly _keepMs: number, private readonly _logger: ILogger) {
    super()
    this._journal = new Journal(_client, TOPIC, WRITER, epoch, _logger)
    this._ledger = new BatchRecordCodec(_logger)
    this._register({ dispose: () => this._journal.close() })
  }

  /** Fences the writers before this one and restores what they wrote. */
  async open (): Promise<Result<void, StoreError>> {
    const startedAtMs = performance.now()
    const fenced = await this._journal.open()
    if (fenced.isErr()) return err(fenced.error)
    const snapshot = await readAllNewest(this._client, TOPIC, { untilKey: BatchRecordCodec.firstTextKey })
    if (snapshot.isErr()) return err(snapshot.error)
    for (const [id, entry] of this._ledger.restore(snapshot.value.records)) this._batches.set(id, entry)
    for (const { batch } of this._batches.values()) this._markCarried(batch)
    for (const [engineId, orderedAtMs] of this._ledger.restoreOrders(snapshot.value.records)) this._orders.set(engineId, orderedAtMs)
    this._logger.info({ batches: this._batches.size, records: snapshot.value.records.length, duration_ms: Math.round(performance.now() - startedAtMs) }, 'batches_restored')
    return ok(undefined)
  }

  find (id: string): Batch | undefined {
    return this._batches.get(id)?.batch
  }

  * all (): Iterable<Batch> {
    for (const { batch } of this._batches.values()) yield batch
  }

  async submit (spec: BatchSpec, items: readonly BatchItem[]): Promise<Result<Batch, StoreError>> {
    const known = this.find(spec.id)
    if (known !== undefined) return ok(known)
    const running = this._submitting.get(spec.id)
    if (running !== undefined) return await running
    const submitting = this._submit(spec, items)
    this._submitting.set(spec.id, submitting)
    const result = await submitting
    this._submitting.delete(spec.id)
    return result
  }

  async addResult (batch: Batch, result: BatchResult): Promise<Result<void, StoreError>> {
    const position = batch.positionsAllocated++
    const records = this._ledger.encodeResult(batch.spec.id, position, result)
    const written = await this._write(batch.spec.id, records)
    if (written.isErr()) return written
    batch.addResult(position, result)
    // The text stands in the result now.
    batch.find(result.itemId)?.restart()
    this._onChanged.fire(batch)
    return written
  }

  async saveProgress (entries: ReadonlyArray<{ batch: Batch, state: ItemState }>): Promise<Result<void, StoreError>> {
    const writes = entries.map(async ({ batch, state }) => {
      const record = this._ledger.encodeProgress(batch.spec.id, state)
      state.savedEventId = state.progress.lastEventId
      state.savedParts += 1
      return await this._write(batch.spec.id, [record])
    })
    const results = await Promise.all(writes)
    return results.find(result => result.isErr()) ?? ok(undefined)
  }

  async end (batch: Batch): Promise<Result<void, StoreError>> {
    if (batch.isEnded) return ok(undefined)
    const written = await this._write(batch.spec.id, this._ledger.encodeEnd(batch, this._batches.get(batch.spec.id)?.keys ?? [], Date.now()))
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
    return this._orders.get(engineId)
  }

  async recordOrder (engineId: string, orderedAtMs: number): Promise<boolean> {
    this._orders.set(engineId, orderedAtMs)
    return (await this._journal.append([this._ledger.encodeOrder(engineId, orderedAtMs)])).isOk()
  }

  /** Reads the texts of a batch that were left out at the restore or forgotten since. */
  async loadTexts (batch: Batch): Promise<Result<void, StoreError>> {
    if (batch.unloadedTextCount === 0) return ok(undefined)
    const running = this._loading.get(batch)
    if (running !== undefined) return await running
    const loading = this._loadTexts(batch)
    this._loading.set(batch, loading)
    const result = await loading
    this._loading.delete(batch)
    return result
  }

  failingForMs (): number {
    return this._journal.failingForMs()
  }

  /** Forgets texts that are hardly read any more, and removes the batches whose results are no longer promised. */
  async removeExpired (nowMs: number): Promise<void> {
    for (const [id, { batch, keys }] of this._batches) {
      if (batch.isEnded && batch.unloadedTextCount === 0 && nowMs > batch.spec.submittedAtMs + TEXTS_IN_MEMORY_MS) batch.evictTexts()
      if (nowMs < batch.spec.submittedAtMs + this._keepMs + KEEP_MARGIN_MS) continue
      this._batches.delete(id)
      if (!batch.isEnded) this._onEnded.fire(batch)
      const texts = await this._readTexts(id)
      // Keys of texts that an earlier leader wrote are known to the store only.
      const all = new Set([...keys, ...texts.isOk() ? texts.value.map(record => record.key) : []])
      const removed = await this._journal.append(this._ledger.encodeRemoval([...all]))
      this._logger.info({ batch: id, records: all.size, ok: removed.isOk() }, 'batch_removed')
    }
  }

  private async _loadTexts (batch: Batch): Promise<Result<void, StoreError>> {
    const texts = await this._readTexts(batch.spec.id)
    if (texts.isErr()) return err(texts.error)
    this._ledger.restoreTexts(batch, texts.value)
    this._logger.info({ batch: batch.spec.id, results: batch.results.length, records: texts.value.length }, 'batch_texts_loaded')
    return ok(undefined)
  }

  private async _readTexts (id: string): Promise<Result<KeyedRecord[], StoreError>> {
    const prefix = BatchRecordCodec.textKeyPrefix(id)
    // The slash of the prefix is followed by the character behind it, so that the range ends with the batch.
    const read = await readAllNewest(this._client, TOPIC, { afterKey: prefix, untilKey: `${prefix.slice(0, -1)}0` })
    return read.map(({ records }) => records.filter(record => record.key.startsWith(prefix)))
  }

  private async _submit (spec: BatchSpec, items: readonly BatchItem[]): Promise<Result<Batch, StoreError>> {
    const records = this._ledger.encodeSubmission(spec, items)
    const written = await this._journal.append(records)
    if (written.isErr()) return err(written.error)
    const batch = new Batch(spec, items)
    this._batches.set(spec.id, { batch, keys: records.map(record => record.key) })
    this._markCarried(batch)
    this._onChanged.fire(batch)
    return ok(batch)
  }

  private async _write (id: string, records: ReadonlyArray<{ key: string, value?: Uint8Array }>): Promise<Result<void, StoreError>> {
    const written = await this._journal.append(records)
    if (written.isOk()) this._batches.get(id)?.keys.push(...records.map(record => record.key))
    return written
  }

  /** Groups that an earlier batch of the model has not completed come back under the same ids. */
  private _markCarried (batch: Batch): void {
    for (const { batch: earlier } of this._batches.values()) {
      if (earlier === batch || earlier.spec.model !== batch.spec.model || earlier.spec.step >= batch.spec.step) continue
      for (const group of batch.itemsByGroup.keys()) {
        if (earlier.mayBeResubmitted(group)) batch.resubmittedGroups.add(group)
      }
    }
  }
}

import { z } from 'zod'
import type { ILogger } from '../metrics/ILogger.js'
import { joinRecord } from '../store/joinRecord.js'
import { splitRecord } from '../store/splitRecord.js'
import { Batch } from './Batch.js'
import { BatchRecordKeys } from './BatchRecordKeys.js'
import type { BatchEnd } from './record/BatchEnd.js'
import { batchEndSchema } from './record/batchEndSchema.js'
import type { BatchItem } from './record/BatchItem.js'
import { batchItemSchema } from './record/batchItemSchema.js'
import type { BatchResult } from './record/BatchResult.js'
import { batchResultSchema } from './record/batchResultSchema.js'
import type { BatchSpec } from './record/BatchSpec.js'
import { batchSpecSchema } from './record/batchSpecSchema.js'
import type { ItemState } from './record/ItemState.js'
import type { ProgressPart } from './record/ProgressPart.js'
import { progressPartSchema } from './record/progressPartSchema.js'

/** Items are collected into records of about this size, and texts are split into such records. */
const MAX_RECORD_BYTES = 200_000

interface EncodedRecord { key: string, value?: Uint8Array }
type RecordValues = ReadonlyMap<string, Uint8Array>

/**
 * Encodes batches and the times of version orders as store records and decodes them. Keys: `batch/ID`,
 * `items/ID/N`, `result/ID/POSITION`, `text/ID/POSITION/N`, `progress/ID/INDEX/N`, `end/ID` and `order/ENGINE`. A
 * record that is too large for the store has further pieces under its key with a number behind it.
 */
export class BatchRecordCodec {
  private readonly _encoder = new TextEncoder()
  private readonly _decoder = new TextDecoder()

  constructor (private readonly _logger: ILogger) {}

  encodeSubmission (spec: BatchSpec, items: readonly BatchItem[]): EncodedRecord[] {
    const chunks: BatchItem[][] = [[]]
    let bytes = 0
    for (const item of items) {
      const size = this._encoder.encode(JSON.stringify(item)).length
      if (bytes + size > MAX_RECORD_BYTES && bytes > 0) {
        chunks.push([])
        bytes = 0
      }
      chunks.at(-1)?.push(item)
      bytes += size
    }
    const records = chunks.flatMap((chunk, index) => this._encodeJson(BatchRecordKeys.items(spec.id, index), chunk))
    // The last record makes the batch exist, since a large submission does not become durable at once.
    return [...records, ...this._encodeJson(BatchRecordKeys.spec(spec.id), spec)]
  }

  /** Number of records that a text is split into. */
  countTextRecords (text: string): number {
    return Math.ceil(this._encoder.encode(text).length / MAX_RECORD_BYTES)
  }

  encodeResult (batchId: string, position: number, result: BatchResult): EncodedRecord[] {
    const { text, ...head } = result
    const bytes = this._encoder.encode(text)
    const records: EncodedRecord[] = []
    for (let start = 0; start < bytes.length; start += MAX_RECORD_BYTES) {
      records.push({ key: BatchRecordKeys.text(batchId, position, records.length), value: bytes.subarray(start, start + MAX_RECORD_BYTES) })
    }
    // The position may still have further records of another text, whose result did not become durable.
    return [...records, ...this._encodeJson(BatchRecordKeys.result(batchId, position), { ...head, textRecords: records.length })]
  }

  /** Encodes the events of an item that were not saved yet. */
  encodeProgress (batchId: string, state: ItemState): EncodedRecord[] {
    const { events, versions, isComplete } = state.progress
    const part: ProgressPart = { firstEventId: state.savedEventId + 1, events: events.slice(state.savedEventId), versions, isComplete: isComplete || undefined }
    return this._encodeJson(BatchRecordKeys.progress(batchId, state.index, state.savedParts), part)
  }

  /**
   * Encodes the end of a batch. The end record contains the results without their texts, up to the first position
   * whose result is not durable yet. Besides it, only the parameters, the texts and the results after that position
   * are kept; other records are removed.
   */
  encodeEnd (batch: Batch, keys: readonly string[], endedAtMs: number): EncodedRecord[] {
    const listed = batch.listedResults()
    const isListed = new Set(listed.map((_, position) => BatchRecordKeys.result(batch.spec.id, position)))
    const obsolete = keys.filter(key => key.startsWith('items/') || key.startsWith('progress/') || isListed.has(key))
    const results = listed.map(({ itemId, state, versions, score, textRecords }) => ({ itemId, state, versions, score, textRecords }))
    const end: BatchEnd = { endedAtMs, incompleteGroups: batch.incompleteGroups(), results }
    return [...this._encodeJson(BatchRecordKeys.end(batch.spec.id), end), ...this.encodeRemoval(obsolete)]
  }

  encodeOrder (engineId: string, orderedAtMs: number): EncodedRecord[] {
    return this._encodeJson(`order/${engineId}`, { orderedAtMs })
  }

  /** Decodes the time of the last version order to each engine, from the newest record of each key. */
  restoreOrders (records: ReadonlyArray<{ key: string, value?: Uint8Array }>): Map<string, number> {
    const orders = new Map<string, number>()
    for (const { key, value } of records) {
      if (!key.startsWith('order/')) continue
      const order = this._parse(key, value, z.object({ orderedAtMs: z.number() }))
      if (order !== undefined) orders.set(key.slice('order/'.length), order.orderedAtMs)
    }
    return orders
  }

  /** Encodes the removal of the records with these keys. */
  encodeRemoval (keys: readonly string[]): EncodedRecord[] {
    return keys.map(key => ({ key }))
  }

  /** Decodes all batches, without the texts of their results, from the newest record of each key. */
  restore (records: ReadonlyArray<{ key: string, value?: Uint8Array }>): Map<string, { batch: Batch, keys: string[] }> {
    const byBatch = new Map<string, Map<string, Uint8Array>>()
    for (const { key, value } of records) {
      const id = BatchRecordKeys.batchIdOf(key)
      if (id === undefined || value === undefined || key.startsWith('order/')) continue
      const values = byBatch.get(id) ?? new Map<string, Uint8Array>()
      byBatch.set(id, values.set(key, value))
    }
    const restored = new Map<string, { batch: Batch, keys: string[] }>()
    for (const [id, values] of byBatch) {
      const batch = this._restoreBatch(id, values)
      if (batch !== undefined) restored.set(id, { batch, keys: [...values.keys()] })
    }
    return restored
  }

  /**
   * Tells what `restored` lacks. A batch whose records cannot be read may have been accepted. Items without their
   * batch are left by a submission that was not completed.
   */
  findUnrestored (records: ReadonlyArray<{ key: string, value?: Uint8Array }>, restored: ReadonlyMap<string, unknown>): { unreadableIds: Set<string>, abandonedKeys: string[] } {
    const unreadableIds = new Set<string>()
    const abandonedKeys: string[] = []
    for (const { key, value } of records) {
      const id = BatchRecordKeys.batchIdOf(key)
      if (id === undefined || value === undefined || restored.has(id)) continue
      if (key.startsWith('order/') || key.startsWith(BatchRecordCodec.firstTextKey)) continue
      if (key.startsWith('items/')) abandonedKeys.push(key)
      else unreadableIds.add(id)
    }
    return { unreadableIds, abandonedKeys: abandonedKeys.filter(key => !unreadableIds.has(BatchRecordKeys.batchIdOf(key) ?? '')) }
  }

  /**
   * Keys of results behind a gap. They are not listed, and their positions are used again, so the next leader must not
   * take them for results.
   */
  findResultsBehindGaps (restored: ReadonlyMap<string, { batch: Batch, keys: readonly string[] }>): string[] {
    const behindGaps: string[] = []
    for (const [id, { batch, keys }] of restored) {
      const firstUnusedKey = BatchRecordKeys.result(id, batch.results.length)
      behindGaps.push(...keys.filter(key => key.startsWith('result/') && key >= firstUnusedKey))
    }
    return behindGaps
  }

  /** Sets the result texts of a batch from its text records. */
  restoreTexts (batch: Batch, records: ReadonlyArray<{ key: string, value?: Uint8Array }>): void {
    const values = new Map(records.flatMap(({ key, value }) => value === undefined ? [] : [[key, value] as const]))
    for (const position of batch.unloadedTexts()) {
      const result = batch.results[position]
      batch.setText(position, this._decodeText(batch.spec.id, position, values, result?.textRecords))
    }
  }

  /** Decodes the spec; undefined if it is missing or unreadable. */
  decodeSpec (batchId: string, values: RecordValues): BatchSpec | undefined {
    return this._decodeJson(BatchRecordKeys.spec(batchId), values, batchSpecSchema)
  }

  /** Decodes the end; undefined if it is missing or unreadable. */
  decodeEnd (batchId: string, values: RecordValues): BatchEnd | undefined {
    return this._decodeJson(BatchRecordKeys.end(batchId), values, batchEndSchema)
  }

  /** Decodes the items of one record; undefined if it is missing or unreadable. */
  decodeItems (batchId: string, index: number, values: RecordValues): BatchItem[] | undefined {
    return this._decodeJson(BatchRecordKeys.items(batchId, index), values, z.array(batchItemSchema))
  }

  /** Decodes the results by position, up to the first one that is missing or unreadable, without their texts. */
  decodeResults (batchId: string, values: RecordValues, end: BatchEnd | undefined): BatchResult[] {
    const results: BatchResult[] = []
    for (const head of end?.results ?? []) {
      if (head === null) break
      results.push({ ...head, text: '' })
    }
    // Results in flight when the batch ended have later positions than those stored with its end.
    for (;;) {
      const head = this._decodeJson(BatchRecordKeys.result(batchId, results.length), values, batchResultSchema)
      if (head === undefined) return results
      results.push({ ...head, text: '' })
    }
  }

  /** Decodes the text of a result; undefined if one of its `count` records is missing. Without a count, it ends at the first missing record. */
  decodeText (batchId: string, position: number, values: RecordValues, count?: number): string | undefined {
    for (let index = 0; index < (count ?? 0); index++) {
      if (!values.has(BatchRecordKeys.text(batchId, position, index))) return undefined
    }
    return this._decodeText(batchId, position, values, count)
  }

  /** Topic of all batches. */
  static readonly topic = 'keyed.batches'

  /** Text records sort after all other records, so a restore stops reading at this key. */
  static readonly firstTextKey = 'text/'

  /** Common prefix of the keys of the texts of a batch. */
  static textKeyPrefix (batchId: string): string {
    return `text/${batchId}/`
  }

  /** Decodes a text from all of its records; characters may be split between them. */
  joinText (records: readonly Uint8Array[]): string {
    // A byte order mark at the start is part of the text; by default a decoder drops it.
    const decoder = new TextDecoder('utf-8', { ignoreBOM: true })
    return records.map(record => decoder.decode(record, { stream: true })).join('') + decoder.decode()
  }

  private _restoreBatch (id: string, values: RecordValues): Batch | undefined {
    const spec = this.decodeSpec(id, values)
    if (spec === undefined) return undefined
    const items: BatchItem[] = []
    const end = this.decodeEnd(id, values)
    for (let index = 0; items.length < spec.itemCount; index++) {
      // The items of an ended batch have been removed.
      if (end !== undefined && !values.has(BatchRecordKeys.items(id, index))) break
      const chunk = this.decodeItems(id, index, values)
      if (chunk === undefined) return undefined
      items.push(...chunk)
    }
    const batch = new Batch(spec, items)
    if (end !== undefined) batch.end(end.incompleteGroups)
    for (const [position, result] of this.decodeResults(id, values, end).entries()) batch.addResult(position, result)
    batch.evictTexts()
    for (const state of batch.items) {
      if (state.status !== 'finished') this._restoreProgress(id, state, values)
    }
    return batch
  }

  private _restoreProgress (id: string, state: ItemState, values: RecordValues): void {
    for (let index = 0; ; index++) {
      const key = BatchRecordKeys.progress(id, state.index, index)
      if (!values.has(key)) return
      state.savedParts = index + 1
      const part = this._decodeJson(key, values, progressPartSchema)
      // A part whose pieces are not all durable was written again by the next leader.
      if (part === undefined) continue
      // A part that begins at the first event contains the whole output so far, and replaces the earlier parts.
      if (part.firstEventId === 1) state.restart()
      // A part after a gap; the next leader wrote these events again, later.
      if (part.firstEventId !== state.progress.lastEventId + 1) continue
      state.progress.events.push(...part.events)
      state.progress.lastEventId += part.events.length
      state.progress.versions = [...part.versions]
      state.savedEventId = state.progress.lastEventId
      state.progress.isComplete = part.isComplete ?? false
      state.isCompletionSaved = state.progress.isComplete
    }
  }

  private _decodeText (id: string, position: number, values: RecordValues, count = Number.POSITIVE_INFINITY): string {
    const records: Uint8Array[] = []
    for (let index = 0; index < count; index++) {
      const part = values.get(BatchRecordKeys.text(id, position, index))
      if (part === undefined) break
      records.push(part)
    }
    return this.joinText(records)
  }

  private _encodeJson (key: string, value: unknown): Array<{ key: string, value: Uint8Array }> {
    return splitRecord(key, this._encoder.encode(JSON.stringify(value)))
  }

  /** Decodes a record from its pieces; undefined if it is missing or unreadable. */
  private _decodeJson<T extends z.ZodType> (key: string, values: RecordValues, schema: T): z.output<T> | undefined {
    const bytes = joinRecord(key, values)
    return bytes === undefined ? undefined : this._parse(key, bytes, schema)
  }

  private _parse<T extends z.ZodType> (key: string, bytes: Uint8Array | undefined, schema: T): z.output<T> | undefined {
    try {
      if (bytes === undefined) throw new Error('record is missing')
      return schema.parse(JSON.parse(this._decoder.decode(bytes)))
    } catch (error) {
      this._logger.error({ key, reason: (error as Error).message }, 'batch_record_unreadable')
      return undefined
    }
  }
}

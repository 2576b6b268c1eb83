import { z } from 'zod'
import type { ILogger } from '../metrics/ILogger.js'
import { joinRecord } from '../store/joinRecord.js'
import { splitRecord } from '../store/splitRecord.js'
import { Batch } from './Batch.js'
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

const endSchema = z.object({
  endedAtMs: z.number(),
  /** A later batch may resubmit these groups. */
  incompleteGroups: z.array(z.string()),
  /** Results that were durable at the end, by position up to the first gap; `null` at a gap in records of earlier versions. */
  results: z.array(batchResultSchema.nullable())
})

interface EncodedRecord { key: string, value?: Uint8Array }

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
    const records = chunks.flatMap((chunk, index) => this._encodeJson(`items/${spec.id}/${pad(index)}`, chunk))
    // The last record makes the batch exist, since a large submission does not become durable at once.
    return [...records, ...this._encodeJson(`batch/${spec.id}`, spec)]
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
      records.push({ key: `text/${batchId}/${pad(position)}/${pad(records.length)}`, value: bytes.subarray(start, start + MAX_RECORD_BYTES) })
    }
    // The position may still have further records of another text, whose result did not become durable.
    return [...records, ...this._encodeJson(`result/${batchId}/${pad(position)}`, { ...head, textRecords: records.length })]
  }

  /** Encodes the events of an item that were not saved yet. */
  encodeProgress (batchId: string, state: ItemState): EncodedRecord[] {
    const { events, versions, isComplete } = state.progress
    const part: ProgressPart = { firstEventId: state.savedEventId + 1, events: events.slice(state.savedEventId), versions, isComplete: isComplete || undefined }
    return this._encodeJson(`progress/${batchId}/${pad(state.index)}/${pad(state.savedParts)}`, part)
  }

  /**
   * Encodes the end of a batch. The end record contains the results without their texts, up to the first position
   * whose result is not durable yet. Besides it, only the parameters, the texts and the results after that position
   * are kept; other records are removed.
   */
  encodeEnd (batch: Batch, keys: readonly string[], endedAtMs: number): EncodedRecord[] {
    const listed = batch.listedResults()
    const isListed = new Set(listed.map((_, position) => `result/${batch.spec.id}/${pad(position)}`))
    const obsolete = keys.filter(key => key.startsWith('items/') || key.startsWith('progress/') || isListed.has(key))
    const results = listed.map(({ itemId, state, versions, score, textRecords }) => ({ itemId, state, versions, score, textRecords }))
    const end: z.infer<typeof endSchema> = { endedAtMs, incompleteGroups: batch.incompleteGroups(), results }
    return [...this._encodeJson(`end/${batch.spec.id}`, end), ...this.encodeRemoval(obsolete)]
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
      const id = key.split('/')[1]
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
      const id = key.split('/')[1]
      if (id === undefined || value === undefined || restored.has(id)) continue
      if (key.startsWith('order/') || key.startsWith(BatchRecordCodec.firstTextKey)) continue
      if (key.startsWith('items/')) abandonedKeys.push(key)
      else unreadableIds.add(id)
    }
    return { unreadableIds, abandonedKeys: abandonedKeys.filter(key => !unreadableIds.has(key.split('/')[1] ?? '')) }
  }

  /** Sets the result texts of a batch from its text records. */
  restoreTexts (batch: Batch, records: ReadonlyArray<{ key: string, value?: Uint8Array }>): void {
    const values = new Map(records.flatMap(({ key, value }) => value === undefined ? [] : [[key, value] as const]))
    for (const position of batch.unloadedTexts()) {
      const result = batch.results[position]
      batch.setText(position, this._decodeText(batch.spec.id, position, values, result?.textRecords))
    }
  }

  /** Text records sort after all other records, so a restore stops reading at this key. */
  static readonly firstTextKey = 'text/'

  /** Common prefix of the keys of the texts of a batch. */
  static textKeyPrefix (batchId: string): string {
    return `text/${batchId}/`
  }

  /** Key after which a text is read, behind those of its records that were read before. */
  static keyBeforeText (batchId: string, position: number, recordsRead: number): string {
    const key = `text/${batchId}/${pad(position)}`
    return recordsRead === 0 ? key : `${key}/${pad(recordsRead - 1)}`
  }

  /** Key after those of all records of a text; '0' is the character after '/'. */
  static keyAfterText (batchId: string, position: number): string {
    return `text/${batchId}/${pad(position)}0`
  }

  /** Result position and record number of the key of a text record; undefined if it belongs to no text of the batch. */
  static parseTextKey (batchId: string, key: string): { position: number, index: number } | undefined {
    const prefix = BatchRecordCodec.textKeyPrefix(batchId)
    if (!key.startsWith(prefix)) return undefined
    const [position, index] = key.slice(prefix.length).split('/').map(Number)
    return position === undefined || index === undefined ? undefined : { position, index }
  }

  /** Decodes a text from all of its records; characters may be split between them. */
  decodeText (records: readonly Uint8Array[]): string {
    const decoder = new TextDecoder()
    return records.map(record => decoder.decode(record, { stream: true })).join('') + decoder.decode()
  }

  private _restoreBatch (id: string, values: ReadonlyMap<string, Uint8Array>): Batch | undefined {
    const spec = this._decodeJson(`batch/${id}`, values, batchSpecSchema)
    if (spec === undefined) return undefined
    const items: BatchItem[] = []
    const end = this._decodeJson(`end/${id}`, values, endSchema)
    for (let index = 0; items.length < spec.itemCount; index++) {
      const key = `items/${id}/${pad(index)}`
      // The items of an ended batch have been removed.
      if (end !== undefined && !values.has(key)) break
      const chunk = this._decodeJson(key, values, z.array(batchItemSchema))
      if (chunk === undefined) return undefined
      items.push(...chunk)
    }
    const batch = new Batch(spec, items)
    if (end !== undefined) batch.end(end.incompleteGroups)
    for (const [position, head] of (end?.results ?? []).entries()) {
      if (head === null) break
      batch.addResult(position, { ...head, text: '' })
    }
    // Results in flight when the batch ended have later positions than those stored with its end.
    for (let position = batch.results.length; ; position++) {
      const head = this._decodeJson(`result/${id}/${pad(position)}`, values, batchResultSchema)
      if (head === undefined) break
      batch.addResult(position, { ...head, text: '' })
    }
    batch.evictTexts()
    for (const state of batch.items) {
      if (state.status !== 'finished') this._restoreProgress(id, state, values)
    }
    return batch
  }

  private _restoreProgress (id: string, state: ItemState, values: ReadonlyMap<string, Uint8Array>): void {
    for (let index = 0; ; index++) {
      const key = `progress/${id}/${pad(state.index)}/${pad(index)}`
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

  private _decodeText (id: string, position: number, values: ReadonlyMap<string, Uint8Array>, count = Number.POSITIVE_INFINITY): string {
    const records: Uint8Array[] = []
    for (let index = 0; index < count; index++) {
      const part = values.get(`text/${id}/${pad(position)}/${pad(index)}`)
      if (part === undefined) break
      records.push(part)
    }
    return this.decodeText(records)
  }

  private _encodeJson (key: string, value: unknown): Array<{ key: string, value: Uint8Array }> {
    return splitRecord(key, this._encoder.encode(JSON.stringify(value)))
  }

  /** Decodes a record from its pieces; undefined if it is missing or unreadable. */
  private _decodeJson<T extends z.ZodType> (key: string, values: ReadonlyMap<string, Uint8Array>, schema: T): z.output<T> | undefined {
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

/** Pads numbers in keys, so that keys sort numerically. */
function pad (value: number): string {
  return String(value).padStart(6, '0')
}

import { err, ok, type Result } from 'neverthrow'
import type { IStoreClient } from '../store/IStoreClient.js'
import type { KeyRange } from '../store/KeyRange.js'
import { RangeScan } from '../store/RangeScan.js'
import { BatchRecordCodec } from './BatchRecordCodec.js'
import { BatchRecordKeys } from './BatchRecordKeys.js'
import { isVisibleTo } from './isVisibleTo.js'
import type { BatchEnd } from './record/BatchEnd.js'
import type { BatchResult } from './record/BatchResult.js'
import type { BatchSpec } from './record/BatchSpec.js'
import { ResultPage } from './ResultPage.js'
import type { StoredReadFailure } from './StoredReadFailure.js'

type Values = ReadonlyMap<string, Uint8Array>
/** Results without their texts, by position. `isComplete` is false if the store may hold more that are not certain. */
interface ListedResults { results: BatchResult[], isComplete: boolean }

/**
 * One request for a batch, answered from its records while a leader may write them. The order of the range reads
 * matters, since each shows another moment.
 */
export class StoredBatchRead {
  private _recordCount = 0

  constructor (
    private readonly _client: IStoreClient,
    private readonly _codec: BatchRecordCodec,
    private readonly _id: string,
    private readonly _organisation: string | undefined,
    private readonly _deadlineAtMs: number
  ) {}

  /** Number of records read so far. */
  get recordCount (): number {
    return this._recordCount
  }

  /** Reads results from a position on, as many as one response contains. */
  async readResults (fromPosition: number): Promise<Result<{ total: number, results: BatchResult[] }, StoredReadFailure>> {
    // The result records come before the end record. The end takes over the results and removes their records, so a
    // result that is missing among the records because of an end is in the end record that is read later.
    const scan = this._scan(BatchRecordKeys.resultsRange(this._id))
    const read = await this._readAll(scan)
    if (read.isErr()) return err(read.error)
    // The spec comes after the result records: a removal deletes the spec before the results and the end, so these were
    // all there if the spec still is.
    const state = await this._readSpecAndEnd()
    if (state.isErr()) return err(state.error)
    const { spec, end, isEndUnreadable } = state.value
    const listed = this._listResults(scan, end)
    const isComplete = listed.isComplete && !isEndUnreadable
    if (fromPosition >= listed.results.length) return isComplete ? ok({ total: spec.itemCount, results: [] }) : err({ reason: 'results_uncertain' })
    // The texts come last: they are durable before their result. A removal meanwhile shows as a missing text.
    const page = await this._readTexts(listed.results, fromPosition)
    return page.map(({ results }) => ({ total: spec.itemCount, results }))
  }

  /** Reads the body of an item; undefined if the batch has ended or does not contain the item. */
  async readItemBody (itemId: string): Promise<Result<string | undefined, StoredReadFailure>> {
    const state = await this._readSpecAndEnd()
    if (state.isErr()) return err(state.error)
    const { spec, end } = state.value
    if (end !== undefined) return ok(undefined)
    const scan = this._scan(BatchRecordKeys.itemsRange(this._id))
    let itemCount = 0
    for (let index = 0; itemCount < spec.itemCount; index++) {
      // All pieces of a record precede the next record.
      const nextKey = BatchRecordKeys.items(this._id, index + 1)
      const read = await this._readUpTo(scan, nextKey)
      if (read.isErr()) return err(read.error)
      const items = this._codec.decodeItems(this._id, index, scan.values)
      // An end or a removal may have removed the items since the end was read.
      if (items === undefined) return err({ reason: 'items_missing' })
      const item = items.find(({ id }) => id === itemId)
      if (item !== undefined) return ok(item.bodyBase64)
      itemCount += items.length
      scan.discardBefore(nextKey)
    }
    return ok(undefined)
  }

  private async _readSpecAndEnd (): Promise<Result<{ spec: BatchSpec, end: BatchEnd | undefined, isEndUnreadable: boolean }, StoredReadFailure>> {
    const values = await this._readSpecAndEndValues()
    if (values.isErr()) return err(values.error)
    const spec = this._codec.decodeSpec(this._id, values.value)
    if (spec === undefined) return err({ reason: 'spec_missing' })
    if (!isVisibleTo(spec, this._organisation)) return err({ reason: 'other_organisation' })
    const end = this._codec.decodeEnd(this._id, values.value)
    return ok({ spec, end, isEndUnreadable: end === undefined && values.value.has(BatchRecordKeys.end(this._id)) })
  }

  private async _readSpecAndEndValues (): Promise<Result<Values, StoredReadFailure>> {
    const specRange = BatchRecordKeys.specRange(this._id)
    const endRange = BatchRecordKeys.endRange(this._id)
    // Few records lie between the two unless there are many batches, so one page often contains both.
    const both = this._scan({ afterKey: specRange.afterKey, untilKey: endRange.untilKey })
    const page = await this._readPage(both)
    if (page.isErr()) return err(page.error)
    if (both.isDone) return ok(both.values)
    // The end comes before the spec: a removal deletes the spec first, so an end that is missing has not been removed.
    const end = this._scan(endRange)
    const spec = this._scan(specRange)
    for (const scan of [end, spec]) {
      const read = await this._readAll(scan)
      if (read.isErr()) return err(read.error)
    }
    return ok(new Map([...end.values, ...spec.values]))
  }

  /** Lists the results up to the first gap, and up to the first one that may not be listed by the next leader. */
  private _listResults ({ values, offsets }: RangeScan, end: BatchEnd | undefined): ListedResults {
    const results = this._codec.decodeResults(this._id, values, end)
    const isNextUnreadable = values.has(BatchRecordKeys.result(this._id, results.length))
    const itemIds = new Set<string>()
    for (const [position, { itemId }] of results.entries()) {
      const offset = offsets.get(BatchRecordKeys.result(this._id, position)) ?? Number.POSITIVE_INFINITY
      const previousOffset = offsets.get(BatchRecordKeys.result(this._id, position - 1)) ?? 0
      const isInEnd = position < (end?.results.length ?? 0)
      // A leader that restores results with a gap uses the positions after the gap again, where the records of the
      // previous leader remain until then. Such a record is older than that of the position before it.
      if (!isInEnd && (offset < previousOffset || itemIds.has(itemId))) return { results: results.slice(0, position), isComplete: false }
      itemIds.add(itemId)
    }
    return { results, isComplete: !isNextUnreadable }
  }

  private async _readTexts (results: readonly BatchResult[], fromPosition: number): Promise<Result<ResultPage, StoredReadFailure>> {
    const page = new ResultPage()
    const scan = this._scan(BatchRecordKeys.textsRange(this._id, fromPosition, results.length))
    for (let position = fromPosition; ; position++) {
      const result = results[position]
      if (result === undefined) break
      const read = result.textRecords === 0 ? ok(undefined) : await this._readUpTo(scan, this._lastTextKey(position, result))
      if (read.isErr()) return err(read.error)
      const text = this._codec.decodeText(this._id, position, scan.values, result.textRecords)
      if (text === undefined) return err({ reason: 'text_missing' })
      if (!page.add({ ...result, text })) break
      scan.discardBefore(BatchRecordKeys.text(this._id, position + 1, 0))
    }
    return ok(page)
  }

  /** Key up to which the text records have to be read. Results of earlier versions do not tell their number. */
  private _lastTextKey (position: number, { textRecords }: BatchResult): string {
    return BatchRecordKeys.text(this._id, textRecords === undefined ? position + 1 : position, (textRecords ?? 1) - 1)
  }

  private _scan (range: KeyRange): RangeScan {
    return new RangeScan(this._client, BatchRecordCodec.topic, range)
  }

  private async _readAll (scan: RangeScan): Promise<Result<void, StoredReadFailure>> {
    while (!scan.isDone) {
      const read = await this._readPage(scan)
      if (read.isErr()) return read
    }
    return ok(undefined)
  }

  private async _readUpTo (scan: RangeScan, key: string): Promise<Result<void, StoredReadFailure>> {
    while (!scan.hasRead(key)) {
      const read = await this._readPage(scan)
      if (read.isErr()) return read
    }
    return ok(undefined)
  }

  private async _readPage (scan: RangeScan): Promise<Result<void, StoredReadFailure>> {
    if (performance.now() >= this._deadlineAtMs) return err({ reason: 'deadline_passed' })
    const read = await scan.readPage()
    if (read.isErr()) return err({ reason: 'store_failed', message: read.error.message })
    this._recordCount += read.value
    return ok(undefined)
  }
}

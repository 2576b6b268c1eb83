import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { AppendedRange } from '../AppendedRange.js'
import type { IStoreClient } from '../IStoreClient.js'
import type { KeyedRecord } from '../KeyedRecord.js'
import type { StoreAppendRequest } from '../StoreAppendRequest.js'
import type { StoreError } from '../StoreError.js'
import type { StorePage } from '../StorePage.js'
import type { StoreSlice } from '../StoreSlice.js'

/** Outcome of an append: executed, refused for now or for good, or executed now or later with its response lost. */
type AppendOutcome = 'ok' | 'refused' | 'rejected' | 'answer_lost' | { lateMs: number }

interface Topic {
  records: KeyedRecord[]
  firstOffset: number
  newest: Map<string, KeyedRecord>
  writers: Map<string, { epoch: number, nextSequence: number | undefined, lastAppends: Array<{ sequence: number, range: AppendedRange }> }>
  waiters: Set<() => void>
  /** `performance.now()` at which the appends that wait have been executed. */
  busyUntilMs: number
}

const PAGE_RECORDS = 3
/** An append that would wait longer is refused. */
const MAX_APPEND_WAIT_MS = 2000

/** In-memory stand-in of the store, with conditional appends, writers with epochs, keyed topics and faults. */
export class MemoryStore implements IStoreClient {
  isDown = false
  /** Limits as of the platform's store; an append over one of them is rejected as a whole. */
  maxRecordBytes = 262_144
  maxCallBytes = 2_097_152
  /** Maximum number of records that one read returns. */
  maxReadRecords = Number.POSITIVE_INFINITY
  /** Time that an append takes. The appends to a topic are executed one at a time. */
  appendMs = 0
  /** Number of append calls. */
  appends = 0
  /** Decides the outcome of each append. */
  appendOutcome: (request: StoreAppendRequest) => AppendOutcome = () => 'ok'
  private readonly _topics = new Map<string, Topic>()

  append (request: StoreAppendRequest): ResultAsync<AppendedRange, StoreError> {
    return new ResultAsync(this._append(request))
  }

  read (topic: string, fromOffset: number, waitMs: number): ResultAsync<StoreSlice, StoreError> {
    return new ResultAsync(this._read(topic, fromOffset, waitMs))
  }

  newest (topic: string, afterKey?: string): ResultAsync<StorePage, StoreError> {
    if (this.isDown) return new ResultAsync(Promise.resolve(err(unavailable(false))))
    const { newest, records, firstOffset } = this._topic(topic)
    const keys = [...newest.keys()].sort().filter(key => afterKey === undefined || key > afterKey)
    const page = keys.slice(0, PAGE_RECORDS).map(key => newest.get(key) as KeyedRecord)
    return new ResultAsync(Promise.resolve(ok({ records: page, hasMore: keys.length > PAGE_RECORDS, endOffset: firstOffset + records.length })))
  }

  /** Appends a record as another writer. */
  write (topic: string, key: string, value?: unknown): void {
    this._apply(this._topic(topic), [{ key, value: value === undefined ? undefined : encode(value) }])
  }

  /** Appends a record with any content as another writer. */
  writeBytes (topic: string, key: string, value: Uint8Array): void {
    this._apply(this._topic(topic), [{ key, value }])
  }

  /** Discards the history of a topic but keeps the newest record of each key. */
  truncateHistory (topic: string): void {
    const state = this._topic(topic)
    state.firstOffset += state.records.length
    state.records = []
  }

  keys (topic: string): string[] {
    return [...this._topic(topic).newest.keys()].sort()
  }

  private async _append (request: StoreAppendRequest): Promise<Result<AppendedRange, StoreError>> {
    this.appends += 1
    if (this.isDown) return err(unavailable(false))
    if (this._exceedsLimits(request)) return err({ kind: 'rejected', message: 'append is too large', mayTakeEffect: false })
    const topic = this._topic(request.topic)
    const waitMs = Math.max(0, topic.busyUntilMs - performance.now())
    if (waitMs > MAX_APPEND_WAIT_MS) return err(unavailable(false))
    if (this.appendMs > 0) {
      topic.busyUntilMs = performance.now() + waitMs + this.appendMs
      await new Promise(resolve => setTimeout(resolve, waitMs + this.appendMs))
    }
    const outcome = this.appendOutcome(request)
    if (outcome === 'refused') return err(unavailable(false))
    if (outcome === 'rejected') return err({ kind: 'rejected', message: 'append is rejected', mayTakeEffect: false })
    if (typeof outcome === 'object') {
      setTimeout(() => this._execute(request), outcome.lateMs)
      return err(unavailable(true))
    }
    const result = this._execute(request)
    return outcome === 'answer_lost' ? err(unavailable(true)) : result
  }

  private _exceedsLimits ({ records }: StoreAppendRequest): boolean {
    const sizes = records.map(({ key, value }) => key.length + (value?.length ?? 0))
    return sizes.some(size => size > this.maxRecordBytes) || sizes.reduce((sum, size) => sum + size, 0) > this.maxCallBytes
  }

  private _execute (request: StoreAppendRequest): Result<AppendedRange, StoreError> {
    const topic = this._topic(request.topic)
    const endOffset = topic.firstOffset + topic.records.length
    if (request.expectedEndOffset !== undefined && request.expectedEndOffset !== endOffset) {
      return err({ kind: 'end_moved', message: 'end moved', mayTakeEffect: false, endOffset })
    }
    if (request.writer === undefined) return ok(this._apply(topic, request.records))
    const { name, epoch, sequence } = request.writer
    const known = topic.writers.get(name)
    if (known !== undefined && epoch < known.epoch) return err({ kind: 'fenced', message: 'fenced', mayTakeEffect: false })
    const writer = known === undefined || epoch > known.epoch ? { epoch, nextSequence: undefined, lastAppends: [] } : known
    topic.writers.set(name, writer)
    if (request.records.length === 0) return ok({ firstOffset: endOffset, endOffset })
    const retriedAppend = writer.lastAppends.find(previous => previous.sequence === sequence)
    if (retriedAppend !== undefined) return ok(retriedAppend.range)
    if (writer.nextSequence !== undefined && sequence !== writer.nextSequence) {
      return err({ kind: 'out_of_sequence', message: 'sequence', mayTakeEffect: false, expectedSequence: writer.nextSequence })
    }
    const range = this._apply(topic, request.records)
    writer.nextSequence = sequence + 1
    writer.lastAppends = [...writer.lastAppends, { sequence, range }].slice(-5)
    return ok(range)
  }

  private _apply (topic: Topic, records: StoreAppendRequest['records']): AppendedRange {
    const firstOffset = topic.firstOffset + topic.records.length
    for (const { key, value } of records) {
      const record = { key, value, offset: topic.firstOffset + topic.records.length }
      topic.records.push(record)
      if (value === undefined) topic.newest.delete(key)
      else topic.newest.set(key, record)
    }
    for (const wake of [...topic.waiters]) wake()
    return { firstOffset, endOffset: firstOffset + records.length }
  }

  private async _read (name: string, fromOffset: number, waitMs: number): Promise<Result<StoreSlice, StoreError>> {
    const topic = this._topic(name)
    const isAtEnd = (): boolean => topic.firstOffset + topic.records.length <= fromOffset
    if (!this.isDown && isAtEnd()) {
      await new Promise<void>(resolve => {
        const finish = (): void => {
          clearTimeout(timer)
          topic.waiters.delete(finish)
          resolve()
        }
        const timer = setTimeout(finish, waitMs)
        topic.waiters.add(finish)
      })
    }
    if (this.isDown) return err(unavailable(false))
    if (fromOffset < topic.firstOffset) return err({ kind: 'expired', message: 'expired', mayTakeEffect: false, firstOffset: topic.firstOffset })
    const start = fromOffset - topic.firstOffset
    const records = topic.records.slice(start, start + this.maxReadRecords)
    return ok({ records, nextOffset: fromOffset + records.length, endOffset: topic.firstOffset + topic.records.length })
  }

  private _topic (name: string): Topic {
    const known = this._topics.get(name) ?? { records: [], firstOffset: 0, newest: new Map(), writers: new Map(), waiters: new Set(), busyUntilMs: 0 }
    this._topics.set(name, known)
    return known
  }
}

function unavailable (mayTakeEffect: boolean): StoreError {
  return { kind: 'unavailable', message: 'store is unavailable', mayTakeEffect }
}

function encode (value: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(value))
}

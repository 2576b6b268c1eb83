import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { AppendedRange } from '../AppendedRange.js'
import type { IStoreClient } from '../IStoreClient.js'
import type { KeyedRecord } from '../KeyedRecord.js'
import type { StoreAppendRequest } from '../StoreAppendRequest.js'
import type { StoreError } from '../StoreError.js'
import type { StorePage } from '../StorePage.js'
import type { StoreSlice } from '../StoreSlice.js'

/** What happens to an append: done, refused, or done now or later with its answer lost. */
type AppendOutcome = 'ok' | 'refused' | 'answer_lost' | { lateMs: number }

interface Topic {
  records: KeyedRecord[]
  firstOffset: number
  newest: Map<string, KeyedRecord>
  writers: Map<string, { epoch: number, next: number | undefined, last: Array<{ sequence: number, range: AppendedRange }> }>
  waiters: Set<() => void>
}

const PAGE_RECORDS = 3

/** The platform's store in memory: conditional appends, writers with epochs, keyed topics and faults. */
export class MemoryStore implements IStoreClient {
  isDown = false
  appends = 0
  appendOutcome: (append: StoreAppendRequest) => AppendOutcome = () => 'ok'
  private readonly _topics = new Map<string, Topic>()

  append (append: StoreAppendRequest): ResultAsync<AppendedRange, StoreError> {
    return new ResultAsync(this._append(append))
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

  /** Writes as somebody else would. */
  write (topic: string, key: string, value?: unknown): void {
    this._apply(this._topic(topic), [{ key, value: value === undefined ? undefined : encode(value) }])
  }

  /** Drops the history of a topic; the newest record of each key stays. */
  truncateHistory (topic: string): void {
    const state = this._topic(topic)
    state.firstOffset += state.records.length
    state.records = []
  }

  keys (topic: string): string[] {
    return [...this._topic(topic).newest.keys()].sort()
  }

  private async _append (append: StoreAppendRequest): Promise<Result<AppendedRange, StoreError>> {
    this.appends += 1
    if (this.isDown) return err(unavailable(false))
    const fate = this.appendOutcome(append)
    if (fate === 'refused') return err(unavailable(false))
    if (typeof fate === 'object') {
      setTimeout(() => this._execute(append), fate.lateMs)
      return err(unavailable(true))
    }
    const result = this._execute(append)
    return fate === 'answer_lost' ? err(unavailable(true)) : result
  }

  private _execute (append: StoreAppendRequest): Result<AppendedRange, StoreError> {
    const topic = this._topic(append.topic)
    const endOffset = topic.firstOffset + topic.records.length
    if (append.expectedEndOffset !== undefined && append.expectedEndOffset !== endOffset) {
      return err({ kind: 'end_moved', message: 'end moved', mayLand: false, endOffset })
    }
    if (append.writer === undefined) return ok(this._apply(topic, append.records))
    const { name, epoch, sequence } = append.writer
    const known = topic.writers.get(name)
    if (known !== undefined && epoch < known.epoch) return err({ kind: 'fenced', message: 'fenced', mayLand: false })
    const writer = known === undefined || epoch > known.epoch ? { epoch, next: undefined, last: [] } : known
    topic.writers.set(name, writer)
    if (append.records.length === 0) return ok({ firstOffset: endOffset, endOffset })
    const repeated = writer.last.find(entry => entry.sequence === sequence)
    if (repeated !== undefined) return ok(repeated.range)
    if (writer.next !== undefined && sequence !== writer.next) {
      return err({ kind: 'out_of_sequence', message: 'sequence', mayLand: false, expectedSequence: writer.next })
    }
    const range = this._apply(topic, append.records)
    writer.next = sequence + 1
    writer.last = [...writer.last, { sequence, range }].slice(-5)
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
    const isEmpty = (): boolean => topic.firstOffset + topic.records.length <= fromOffset
    if (!this.isDown && isEmpty()) {
      await new Promise<void>(resolve => {
        const done = (): void => {
          clearTimeout(timer)
          topic.waiters.delete(done)
          resolve()
        }
        const timer = setTimeout(done, waitMs)
        topic.waiters.add(done)
      })
    }
    if (this.isDown) return err(unavailable(false))
    if (fromOffset < topic.firstOffset) return err({ kind: 'expired', message: 'expired', mayLand: false, firstOffset: topic.firstOffset })
    const records = topic.records.slice(fromOffset - topic.firstOffset)
    return ok({ records, nextOffset: fromOffset + records.length })
  }

  private _topic (name: string): Topic {
    const known = this._topics.get(name) ?? { records: [], firstOffset: 0, newest: new Map(), writers: new Map(), waiters: new Set() }
    this._topics.set(name, known)
    return known
  }
}

function unavailable (mayLand: boolean): StoreError {
  return { kind: 'unavailable', message: 'store is away', mayTakeEffect: mayLand }
}

function encode (value: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(value))
}

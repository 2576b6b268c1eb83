import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { AppendedRange } from '../AppendedRange.js'
import type { IStoreClient } from '../IStoreClient.js'
import type { KeyedRecord } from '../KeyedRecord.js'
import type { StoreAppendRequest } from '../StoreAppendRequest.js'
import type { StoreError } from '../StoreError.js'
import type { StorePage } from '../StorePage.js'
import type { StoreSlice } from '../StoreSlice.js'

/** As of the platform's store and its client. */
const PAGE_RECORDS = 500
const PAGE_BYTES = 1_000_000
const NEWEST_TIMEOUT_MS = 2500
const BASE64_FACTOR = 4 / 3
const STEP_MS = 5

interface Transfer { remainingBytes: number, finish: () => void }

/** Client whose pages of newest records share a link of limited bandwidth, and which may get no responses at all. */
export class LimitedStoreClient implements IStoreClient {
  /** While set, pages get no response. */
  isSilent = false
  /** Number of further pages that get a response; the next ones get none. */
  remainingPages = Number.POSITIVE_INFINITY
  /** Number of pages requested, and the highest number of them at the same moment. */
  pages = 0
  maxConcurrentPages = 0
  private readonly _transfers = new Set<Transfer>()
  private _isStepScheduled = false
  private _steppedAtMs = 0

  constructor (private readonly _store: IStoreClient, public bytesPerMs: number) {}

  append (request: StoreAppendRequest): ResultAsync<AppendedRange, StoreError> {
    return this._store.append(request)
  }

  read (topic: string, fromOffset: number, waitMs: number): ResultAsync<StoreSlice, StoreError> {
    return this._store.read(topic, fromOffset, waitMs)
  }

  newest (topic: string, afterKey?: string): ResultAsync<StorePage, StoreError> {
    return new ResultAsync(this._newest(topic, afterKey))
  }

  private async _newest (topic: string, afterKey?: string): Promise<Result<StorePage, StoreError>> {
    this.pages += 1
    const isAnswered = !this.isSilent && this.remainingPages > 0
    if (isAnswered) this.remainingPages -= 1
    const page = await this._readPage(topic, afterKey)
    if (page.isErr()) return page
    const bytes = isAnswered ? page.value.records.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0) * BASE64_FACTOR, 0) : Number.POSITIVE_INFINITY
    return await this._transfer(bytes) ? page : err({ kind: 'unavailable', message: 'time-out', mayTakeEffect: false })
  }

  private async _readPage (topic: string, afterKey?: string): Promise<Result<StorePage, StoreError>> {
    const records: KeyedRecord[] = []
    let bytes = 0
    for (;;) {
      const part = await this._store.newest(topic, records.at(-1)?.key ?? afterKey)
      if (part.isErr()) return err(part.error)
      const { endOffset, hasMore } = part.value
      for (const record of part.value.records) {
        bytes += record.value?.length ?? 0
        if (records.length > 0 && (bytes > PAGE_BYTES || records.length >= PAGE_RECORDS)) return ok({ records, hasMore: true, endOffset })
        records.push(record)
      }
      if (!hasMore) return ok({ records, hasMore, endOffset })
    }
  }

  /** Resolves with whether all bytes have arrived before the time-out. */
  private async _transfer (bytes: number): Promise<boolean> {
    return await new Promise(resolve => {
      const transfer: Transfer = { remainingBytes: bytes, finish: () => end(true) }
      const timer = setTimeout(() => end(false), NEWEST_TIMEOUT_MS)
      const end = (hasArrived: boolean): void => {
        clearTimeout(timer)
        this._transfers.delete(transfer)
        resolve(hasArrived)
      }
      this._transfers.add(transfer)
      this.maxConcurrentPages = Math.max(this.maxConcurrentPages, this._transfers.size)
      this._scheduleStep()
    })
  }

  private _scheduleStep (): void {
    if (this._isStepScheduled || this._transfers.size === 0) return
    this._isStepScheduled = true
    this._steppedAtMs = performance.now()
    setTimeout(() => this._step(), STEP_MS)
  }

  /** All transfers with a response get the same share of the link. */
  private _step (): void {
    this._isStepScheduled = false
    const elapsedMs = performance.now() - this._steppedAtMs
    const active = [...this._transfers].filter(({ remainingBytes }) => Number.isFinite(remainingBytes))
    for (const transfer of active) {
      transfer.remainingBytes -= this.bytesPerMs * elapsedMs / active.length
      if (transfer.remainingBytes <= 0) transfer.finish()
    }
    this._scheduleStep()
  }
}

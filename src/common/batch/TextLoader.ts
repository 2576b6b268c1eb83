import { err, ok, type Result } from 'neverthrow'
import { Disposable } from '../kernel/Disposable.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IStoreClient } from '../store/IStoreClient.js'
import type { KeyedRecord } from '../store/KeyedRecord.js'
import type { StoreError } from '../store/StoreError.js'
import type { Batch } from './Batch.js'
import type { BatchRecordCodec } from './BatchRecordCodec.js'
import { BatchRecordKeys } from './BatchRecordKeys.js'

/** Each load has one page of up to 1.33 MB in flight. More of them share the link until all of them time out, on a slow link already two. */
const MAX_CONCURRENT_LOADS = 2
/** A read whose load has not started after this time is refused, since its caller may ask another entry. */
const START_TIMEOUT_MS = 300
/** Limit on the time for which a read waits for texts; callers wait 1.5 s for a response. */
const READ_TIMEOUT_MS = 1000
/** The store counts as unresponsive while a page takes longer than this, and as slow after such a page. */
const SLOW_PAGE_MS = 1000
const RETRY_DELAY_MS = 250
/** Loads that no read has asked for within this time are dropped; callers ask about twice a second. */
const MAX_IDLE_MS = 3000

interface TextRead {
  readonly fromPosition: number
  readonly maxChars: number
  readonly settle: (result: Result<void, StoreError>) => void
}

interface TextLoad {
  readonly batch: Batch
  readonly reads: Set<TextRead>
  /** Pages of results to load: their maximum lengths in characters, by first position. */
  readonly wanted: Map<number, number>
  /** Records of texts that were not read to their ends, by position. */
  readonly parts: Map<number, Uint8Array[]>
  /** Time of the last read that asked for it, in terms of `performance.now()`, as the next one. */
  requestedAtMs: number
  /** Start of the page in flight. */
  pageStartedAtMs?: number
}

/** All records with keys after `afterKey`, up to `endKey`, or up to the end of the topic without it. */
interface TextPage { records: readonly KeyedRecord[], afterKey: string, endKey?: string }

/**
 * Loads result texts from the store for reads: a few batches at a time, in the order in which they were asked for.
 * What was read stays when a later page fails, and when the reads that asked for it have been refused.
 */
export class TextLoader extends Disposable {
  /** Loads in the order in which they are started; one whose page failed goes to the end. */
  private readonly _loads = new Map<Batch, TextLoad>()
  private _retryTimer?: NodeJS.Timeout
  /** Time of the last failed page, unless a later one succeeded. */
  private _failedAtMs?: number
  /** Whether the last page was neither slow nor failed. */
  private _isFast = false
  private _isDisposed = false

  constructor (private readonly _client: IStoreClient, private readonly _topic: string, private readonly _codec: BatchRecordCodec, private readonly _logger: ILogger) {
    super()
    this._register(toDisposable(() => this._stop()))
  }

  /**
   * Loads the texts of the results that one response can contain: from a position on, up to `maxChars` characters, and
   * at least one. Also succeeds with fewer if the others take too long. Fails with `unavailable` if the first text is
   * not there in time, and at once while the store does not respond.
   */
  async load (batch: Batch, fromPosition: number, maxChars: number): Promise<Result<void, StoreError>> {
    batch.markTextsUsed()
    if (batch.nextUnloadedText(fromPosition, maxChars) === undefined) return ok(undefined)
    if (this._isDisposed) return err(unavailable('store is closed'))
    const load = this._request(batch, fromPosition, maxChars)
    const isUnresponsive = this._isUnresponsive()
    this._startLoads()
    if (isUnresponsive) return resultOf(batch, fromPosition, 'store does not respond')
    return await this._wait(load, fromPosition, maxChars)
  }

  private _request (batch: Batch, fromPosition: number, maxChars: number): TextLoad {
    const load = this._loads.get(batch) ?? { batch, reads: new Set(), wanted: new Map(), parts: new Map(), requestedAtMs: 0 }
    load.requestedAtMs = performance.now()
    load.wanted.set(fromPosition, maxChars)
    this._loads.set(batch, load)
    return load
  }

  private async _wait (load: TextLoad, fromPosition: number, maxChars: number): Promise<Result<void, StoreError>> {
    return await new Promise(resolve => {
      const settle = (result: Result<void, StoreError>): void => {
        clearTimeout(startTimer)
        clearTimeout(endTimer)
        load.reads.delete(read)
        resolve(result)
      }
      const read = { fromPosition, maxChars, settle }
      const startTimer = setTimeout(() => {
        if (load.pageStartedAtMs === undefined) settle(resultOf(load.batch, fromPosition, 'load of texts has not started'))
      }, START_TIMEOUT_MS)
      const endTimer = setTimeout(() => settle(resultOf(load.batch, fromPosition, 'load of texts is slow')), READ_TIMEOUT_MS)
      load.reads.add(read)
    })
  }

  private _isUnresponsive (): boolean {
    const nowMs = performance.now()
    // A failed page counts until the next one can have become slow.
    if (this._failedAtMs !== undefined && nowMs - this._failedAtMs <= RETRY_DELAY_MS + SLOW_PAGE_MS) return true
    return this._running().some(({ pageStartedAtMs }) => nowMs - (pageStartedAtMs ?? nowMs) > SLOW_PAGE_MS)
  }

  private _running (): TextLoad[] {
    return [...this._loads.values()].filter(load => load.pageStartedAtMs !== undefined)
  }

  private _startLoads (): void {
    if (this._isDisposed || this._retryTimer !== undefined) return
    const maxLoads = this._isFast ? MAX_CONCURRENT_LOADS : 1
    for (const load of this._loads.values()) {
      if (this._running().length >= maxLoads) return
      if (load.pageStartedAtMs !== undefined) continue
      if (performance.now() - load.requestedAtMs > MAX_IDLE_MS) {
        this._loads.delete(load.batch)
        continue
      }
      this._run(load).catch((fault: unknown) => {
        this._logger.error({ batch: load.batch.spec.id, reason: String(fault) }, 'text_load_fault')
        this._remove(load, 'load of texts failed')
      })
    }
  }

  /** Reads pages until all requested texts are there, or until a page fails. */
  private async _run (load: TextLoad): Promise<void> {
    for (let position = nextPosition(load); position !== undefined; position = nextPosition(load)) {
      const startedAtMs = performance.now()
      load.pageStartedAtMs = startedAtMs
      // The previous page may have shown that the store is fast enough for another load.
      this._startLoads()
      const partCount = load.parts.get(position)?.length ?? 0
      const afterKey = BatchRecordKeys.beforeText(load.batch.spec.id, position, partCount)
      const page = await this._client.newest(this._topic, afterKey)
      load.pageStartedAtMs = undefined
      if (this._isDisposed) return
      if (page.isErr()) return this._onPageFailed(load, page.error)
      this._failedAtMs = undefined
      this._isFast = performance.now() - startedAtMs <= SLOW_PAGE_MS
      const { records, hasMore } = page.value
      this._applyToAll({ records, afterKey, endKey: hasMore ? records.at(-1)?.key : undefined })
      // Without progress, the next page would be the same one.
      const hasProgress = load.batch.isTextLoaded(position) || (load.parts.get(position)?.length ?? 0) > partCount
      if (!hasProgress) {
        this._logger.error({ batch: load.batch.spec.id, position }, 'text_record_missing')
        return this._remove(load, 'record of a text is missing')
      }
    }
    this._remove(load, 'load of texts has ended')
  }

  private _onPageFailed (load: TextLoad, error: StoreError): void {
    this._failedAtMs = performance.now()
    this._isFast = false
    this._logger.warn({ batch: load.batch.spec.id, reason: error.message }, 'text_page_failed')
    // Another load goes first, in case that only this one fails.
    this._loads.delete(load.batch)
    this._loads.set(load.batch, load)
    for (const { batch, reads } of this._loads.values()) {
      for (const read of [...reads]) read.settle(resultOf(batch, read.fromPosition, error.message))
    }
    this._retryTimer ??= setTimeout(() => {
      this._retryTimer = undefined
      this._startLoads()
    }, RETRY_DELAY_MS)
  }

  /** Applies a page to all requested batches, since it may contain the texts of several. */
  private _applyToAll (page: TextPage): void {
    for (const load of [...this._loads.values()]) {
      this._apply(load, page)
      for (const read of [...load.reads]) {
        if (load.batch.nextUnloadedText(read.fromPosition, read.maxChars) === undefined) read.settle(ok(undefined))
      }
    }
  }

  private _apply ({ batch, parts }: TextLoad, page: TextPage): void {
    for (const { key, value } of page.records) {
      const place = BatchRecordKeys.parseText(batch.spec.id, key)
      if (place === undefined || value === undefined || batch.isTextLoaded(place.position)) continue
      const read = parts.get(place.position) ?? []
      if (place.index === read.length) parts.set(place.position, [...read, value])
    }
    this._setCompleteTexts(batch, parts, page)
    this._setEmptyTexts(batch, parts, page)
  }

  private _setCompleteTexts (batch: Batch, parts: TextLoad['parts'], page: TextPage): void {
    for (const [position, read] of parts) {
      const count = batch.results[position]?.textRecords
      // Results of earlier versions do not tell the number of records, so the range of keys has to be read to its end.
      const isComplete = count === undefined ? isReadToEnd(page, batch, position) : read.length >= count
      if (!isComplete) continue
      batch.setText(position, this._codec.joinText(read.slice(0, count)))
      parts.delete(position)
    }
  }

  /** A result of an earlier version does not tell that its text has no records. */
  private _setEmptyTexts (batch: Batch, parts: TextLoad['parts'], page: TextPage): void {
    for (const position of batch.unloadedTexts()) {
      const isUncounted = batch.results[position]?.textRecords === undefined && !parts.has(position)
      const isInPage = page.afterKey <= BatchRecordKeys.beforeText(batch.spec.id, position, 0) && isReadToEnd(page, batch, position)
      if (isUncounted && isInPage) batch.setText(position, '')
    }
  }

  private _remove (load: TextLoad, reason: string): void {
    load.pageStartedAtMs = undefined
    this._loads.delete(load.batch)
    for (const read of [...load.reads]) read.settle(resultOf(load.batch, read.fromPosition, reason))
    this._startLoads()
  }

  private _stop (): void {
    this._isDisposed = true
    clearTimeout(this._retryTimer)
    for (const { batch, reads } of this._loads.values()) {
      for (const read of [...reads]) read.settle(resultOf(batch, read.fromPosition, 'store is closed'))
    }
    this._loads.clear()
  }
}

function nextPosition ({ batch, wanted }: TextLoad): number | undefined {
  for (const [fromPosition, maxChars] of wanted) {
    const position = batch.nextUnloadedText(fromPosition, maxChars)
    if (position !== undefined) return position
    wanted.delete(fromPosition)
  }
  return undefined
}

function isReadToEnd ({ endKey }: TextPage, batch: Batch, position: number): boolean {
  return endKey === undefined || endKey > BatchRecordKeys.afterText(batch.spec.id, position)
}

/** The result of a read that waits no longer: one text is enough for a response. */
function resultOf (batch: Batch, fromPosition: number, reason: string): Result<void, StoreError> {
  return batch.isTextLoaded(fromPosition) ? ok(undefined) : err(unavailable(reason))
}

function unavailable (message: string): StoreError {
  return { kind: 'unavailable', message, mayTakeEffect: false }
}

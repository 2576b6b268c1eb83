import { Backoff } from '../kernel/Backoff.js'
import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IStoreClient } from './IStoreClient.js'
import type { KeyedRecord } from './KeyedRecord.js'
import { readAllNewest } from './readAllNewest.js'

/** Kept short, since a connection that no longer responds hides new records for this long. */
const READ_WAIT_MS = 1000
const MAX_BACKOFF_MS = 400
/** Longer than a read that waits for records and then times out. */
const RECENT_READ_MS = 2500

/** Follows a keyed topic: reads the newest record of each key first, then every new record in order. */
export class KeyedTail extends Disposable {
  private readonly _onRecord = this._register(new Emitter<KeyedRecord>())
  readonly onRecord = this._onRecord.event
  private readonly _onSynced = this._register(new Emitter<void>())
  /** Fires after the newest record of each key has been read, and again after each gap in the history. */
  readonly onSynced = this._onSynced.event
  private readonly _offsetByKey = new Map<string, number>()
  private _nextOffset?: number
  private _isStopped = false
  private _isReachable = false
  private _reachableSinceMs = Number.NEGATIVE_INFINITY
  private _lastReadAtMs = Number.NEGATIVE_INFINITY
  private _isFirstFailureLogged = false
  private _upToDateAtMs = Number.NEGATIVE_INFINITY
  private _hasFailed = false

  constructor (
    private readonly _client: IStoreClient,
    private readonly _topic: string,
    private readonly _logger: ILogger,
    private readonly _readDelayMs = 0,
    /** Wait time of the first read after a failed one. 0 shows soonest whether anything has been missed. */
    private readonly _waitAfterFailureMs = READ_WAIT_MS
  ) {
    super()
  }

  /** Whether the newest record of each key has been read, without a gap since. */
  get isSynced (): boolean {
    return this._nextOffset !== undefined
  }

  /** Offset after the last record that was read; undefined while the tail is not synced. */
  get nextOffset (): number | undefined {
    return this._nextOffset
  }

  /** Whether the store has responded to a read recently. */
  get hasReadRecently (): boolean {
    return performance.now() - this._lastReadAtMs < RECENT_READ_MS
  }

  /** `performance.now()` of the last successful read; negative infinity if there has been none. */
  get lastReadAtMs (): number {
    return this._lastReadAtMs
  }

  /**
   * `performance.now()` up to which the records that were reported are known to be the newest: when the latest read
   * was sent whose response reached the end of the topic. The arrival of a response says nothing, since records may
   * have been appended while it was under way.
   */
  get upToDateAtMs (): number {
    return this._upToDateAtMs
  }

  /** `performance.now()` since which all reads have succeeded; infinity while they fail. */
  get reachableSinceMs (): number {
    return this._isReachable ? this._reachableSinceMs : Number.POSITIVE_INFINITY
  }

  start (): void {
    this._run().catch((fault: unknown) => this._logger.error({ topic: this._topic, reason: String(fault) }, 'tail_fault'))
  }

  override dispose (): void {
    this._isStopped = true
    super.dispose()
  }

  private async _run (): Promise<void> {
    const backoff = new Backoff(MAX_BACKOFF_MS)
    while (!this._isStopped) {
      const isOk = this._nextOffset === undefined ? await this._readSnapshot() : await this._readNext(this._nextOffset)
      if (this._isStopped) return
      if (isOk) backoff.reset()
      const delayMs = isOk ? this._readDelayMs : backoff.nextDelayMs()
      if (delayMs > 0) await new Promise(resolve => setTimeout(resolve, delayMs))
    }
  }

  private async _readSnapshot (): Promise<boolean> {
    // Later pages may lack records that were appended after the first.
    const sentAtMs = performance.now()
    const snapshot = await readAllNewest(this._client, this._topic)
    if (this._isStopped) return false
    if (snapshot.isErr()) return this._onReadFailed(snapshot.error.message)
    this._onReadSucceeded()
    const presentKeys = new Set(snapshot.value.records.map(record => record.key))
    for (const record of snapshot.value.records) this._apply(record)
    // Keys that were deleted within a gap of the history are missing from the snapshot.
    for (const key of [...this._offsetByKey.keys()]) {
      if (!presentKeys.has(key)) this._apply({ key, offset: snapshot.value.endOffset })
    }
    this._nextOffset = snapshot.value.endOffset
    this._upToDateAtMs = sentAtMs
    this._onSynced.fire()
    return true
  }

  private async _readNext (fromOffset: number): Promise<boolean> {
    const sentAtMs = performance.now()
    const slice = await this._client.read(this._topic, fromOffset, this._hasFailed ? this._waitAfterFailureMs : READ_WAIT_MS)
    if (this._isStopped) return false
    if (slice.isErr()) {
      if (slice.error.kind !== 'expired') return this._onReadFailed(slice.error.message)
      this._logger.warn({ topic: this._topic, offset: fromOffset, first_offset: slice.error.firstOffset }, 'store_history_lost')
      this._nextOffset = undefined
      return true
    }
    this._onReadSucceeded()
    for (const record of slice.value.records) this._apply(record)
    this._nextOffset = Math.max(fromOffset, slice.value.nextOffset)
    // An end before the read position contradicts earlier responses, so it says nothing.
    if (slice.value.endOffset === this._nextOffset) this._upToDateAtMs = sentAtMs
    return true
  }

  private _apply (record: KeyedRecord): void {
    const knownOffset = this._offsetByKey.get(record.key)
    if (knownOffset !== undefined && knownOffset >= record.offset) return
    if (record.value === undefined) this._offsetByKey.delete(record.key)
    else this._offsetByKey.set(record.key, record.offset)
    this._onRecord.fire(record)
  }

  private _onReadSucceeded (): void {
    this._lastReadAtMs = performance.now()
    this._hasFailed = false
    if (this._isReachable) return
    this._isReachable = true
    this._reachableSinceMs = this._lastReadAtMs
    this._logger.info({ topic: this._topic, offset: this._nextOffset }, 'store_reachable')
  }

  private _onReadFailed (reason: string): false {
    this._hasFailed = true
    if (this._isReachable || !this._isFirstFailureLogged) {
      this._logger.warn({ topic: this._topic, offset: this._nextOffset, reason }, 'store_unreachable')
      this._isFirstFailureLogged = true
    }
    this._isReachable = false
    return false
  }
}

import { Backoff } from '../log/Backoff.js'
import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IStoreClient } from './IStoreClient.js'
import type { KeyedRecord } from './KeyedRecord.js'
import { readAllNewest } from './readAllNewest.js'

/** A short wait bounds how long a connection that has gone silent hides new records. */
const WAIT_MS = 1000
const FIRST_PAUSE_MS = 20
const MAX_PAUSE_MS = 400

/** Follows a keyed topic: a snapshot of the newest records first, then every record in order. */
export class KeyedTail extends Disposable {
  private readonly _onRecord = this._register(new Emitter<KeyedRecord>())
  readonly onRecord = this._onRecord.event
  private readonly _onSynced = this._register(new Emitter<void>())
  readonly onSynced = this._onSynced.event
  private readonly _offsetByKey = new Map<string, number>()
  private _nextOffset?: number
  private _isStopped = false
  private _isReachable = false
  private _reachableSinceMs = Number.NEGATIVE_INFINITY
  private _contactAtMs = Number.NEGATIVE_INFINITY

  constructor (
    private readonly _client: IStoreClient,
    private readonly _topic: string,
    private readonly _logger: ILogger,
    private readonly _pauseBetweenReadsMs = 0
  ) {
    super()
  }

  get isSynced (): boolean {
    return this._nextOffset !== undefined
  }

  /** `performance.now()` of the last successful read. */
  get lastReadAtMs (): number {
    return this._contactAtMs
  }

  /** `performance.now()` since when all reads have succeeded; infinity while they fail. */
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
    const backoff = new Backoff()
    while (!this._isStopped) {
      const isOk = this._nextOffset === undefined ? await this._snapshot() : await this._read(this._nextOffset)
      if (this._isStopped) return
      if (isOk) backoff.reset()
      const pauseMs = isOk ? this._pauseBetweenReadsMs : Math.min(MAX_PAUSE_MS, Math.max(FIRST_PAUSE_MS, backoff.nextDelayMs()))
      if (pauseMs > 0) await new Promise(resolve => setTimeout(resolve, pauseMs))
    }
  }

  private async _snapshot (): Promise<boolean> {
    const snapshot = await readAllNewest(this._client, this._topic)
    if (this._isStopped) return false
    if (snapshot.isErr()) return this._onFailure(snapshot.error.message)
    this._onContact()
    const present = new Set(snapshot.value.records.map(record => record.key))
    for (const record of snapshot.value.records) this._apply(record)
    // Keys whose removal fell into a gap of the history are missing from the snapshot.
    for (const key of [...this._offsetByKey.keys()]) {
      if (!present.has(key)) this._apply({ key, offset: snapshot.value.endOffset })
    }
    this._nextOffset = snapshot.value.endOffset
    this._onSynced.fire()
    return true
  }

  private async _read (fromOffset: number): Promise<boolean> {
    const slice = await this._client.read(this._topic, fromOffset, WAIT_MS)
    if (this._isStopped) return false
    if (slice.isErr()) {
      if (slice.error.kind !== 'expired') return this._onFailure(slice.error.message)
      this._logger.warn({ topic: this._topic, offset: fromOffset, first_offset: slice.error.firstOffset }, 'store_history_lost')
      this._nextOffset = undefined
      return true
    }
    this._onContact()
    for (const record of slice.value.records) this._apply(record)
    this._nextOffset = Math.max(fromOffset, slice.value.nextOffset)
    return true
  }

  private _apply (record: KeyedRecord): void {
    const known = this._offsetByKey.get(record.key)
    if (known !== undefined && known >= record.offset) return
    if (record.value === undefined) this._offsetByKey.delete(record.key)
    else this._offsetByKey.set(record.key, record.offset)
    this._onRecord.fire(record)
  }

  private _onContact (): void {
    this._contactAtMs = performance.now()
    if (this._isReachable) return
    this._isReachable = true
    this._reachableSinceMs = this._contactAtMs
    this._logger.info({ topic: this._topic, offset: this._nextOffset }, 'store_reachable')
  }

  private _onFailure (reason: string): false {
    if (this._isReachable || this._contactAtMs === Number.NEGATIVE_INFINITY) {
      this._logger.warn({ topic: this._topic, offset: this._nextOffset, reason }, 'store_unreachable')
      this._contactAtMs = Math.max(this._contactAtMs, 0)
    }
    this._isReachable = false
    return false
  }
}

import { Backoff } from '../kernel/Backoff.js'
import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import { parseJson } from '../kernel/parseJson.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IStoreClient } from '../store/IStoreClient.js'
import type { KeyedRecord } from '../store/KeyedRecord.js'
import { KeyedTail } from '../store/KeyedTail.js'
import type { Incarnation } from './Incarnation.js'
import type { ISuspectStore } from './ISuspectStore.js'
import { suspectKeys } from './suspectKeys.js'
import type { SuspectRecord } from './SuspectRecord.js'
import { suspectRecordSchema } from './suspectRecordSchema.js'

const TOPIC = 'keyed.suspects'
const APPEND_TIMEOUT_MS = 1500
/** A trial is decided while its caller waits. */
const CLAIM_TIMEOUT_MS = 300
const MAX_BACKOFF_MS = 1000
const MAX_RECORDS_PER_APPEND = 64
/** Records that wait for the store; further ones replace the oldest. */
const MAX_PENDING_RECORDS = 512
/** Limit of the store. */
const MAX_KEY_BYTES = 255

/** ISuspectStore on a keyed topic, with one key for each crash and for the last trial of each request. */
export class SuspectStore extends Disposable implements ISuspectStore {
  private readonly _onRecord = this._register(new Emitter<SuspectRecord>())
  readonly onRecord = this._onRecord.event
  private readonly _tail: KeyedTail
  /** Values to write by key; undefined deletes the key. */
  private readonly _pending = new Map<string, Uint8Array | undefined>()
  private _isWriting = false
  private _hasSynced = false
  private _isStopped = false

  constructor (private readonly _client: IStoreClient, private readonly _logger: ILogger) {
    super()
    this._tail = this._register(new KeyedTail(_client, TOPIC, _logger))
    this._tail.onRecord(record => this._onKeyedRecord(record))
    this._tail.onSynced(() => { this._hasSynced = true })
  }

  start (): void {
    this._tail.start()
  }

  /** Whether the records of other entries have been read at least once. */
  get hasSynced (): boolean {
    return this._hasSynced
  }

  publish (fingerprint: string, incarnation: Incarnation): void {
    this._enqueue(suspectKeys.ofCrash(fingerprint, incarnation), encodeNow())
  }

  withdraw (fingerprint: string, incarnation: Incarnation): void {
    this._enqueue(suspectKeys.ofCrash(fingerprint, incarnation), undefined)
  }

  withdrawTrial (fingerprint: string): void {
    this._enqueue(suspectKeys.ofTrial(fingerprint), undefined)
  }

  renewTrial (fingerprint: string): void {
    this._enqueue(suspectKeys.ofTrial(fingerprint), encodeNow())
  }

  async claimTrial (fingerprint: string): Promise<boolean> {
    const expectedEndOffset = this._tail.nextOffset
    if (expectedEndOffset === undefined) return false
    const records = [{ key: suspectKeys.ofTrial(fingerprint), value: encodeNow() }]
    const claimed = await this._client.append({ topic: TOPIC, records, expectedEndOffset, timeoutMs: CLAIM_TIMEOUT_MS })
    return claimed.isOk()
  }

  override dispose (): void {
    this._isStopped = true
    super.dispose()
  }

  private _enqueue (key: string, value: Uint8Array | undefined): void {
    if (new TextEncoder().encode(key).length > MAX_KEY_BYTES) return
    // A key that is written again moves to the end.
    this._pending.delete(key)
    this._pending.set(key, value)
    if (this._pending.size > MAX_PENDING_RECORDS) this._dropOldest()
    if (this._isWriting) return
    this._isWriting = true
    this._write()
      .catch((fault: unknown) => this._logger.error({ topic: TOPIC, reason: String(fault) }, 'suspects_write_fault'))
      .finally(() => { this._isWriting = false })
  }

  private _dropOldest (): void {
    const [oldest] = this._pending.keys()
    if (oldest !== undefined) this._pending.delete(oldest)
    this._logger.warn({ topic: TOPIC, pending: this._pending.size }, 'suspect_record_dropped')
  }

  private async _write (): Promise<void> {
    const backoff = new Backoff(MAX_BACKOFF_MS)
    while (this._pending.size > 0 && !this._isStopped) {
      const batch = [...this._pending].slice(0, MAX_RECORDS_PER_APPEND)
      const appended = await this._client.append({ topic: TOPIC, records: batch.map(([key, value]) => ({ key, value })), timeoutMs: APPEND_TIMEOUT_MS })
      if (appended.isErr()) {
        await new Promise(resolve => setTimeout(resolve, backoff.nextDelayMs()))
        continue
      }
      backoff.reset()
      for (const [key, value] of batch) if (this._pending.get(key) === value) this._pending.delete(key)
    }
  }

  private _onKeyedRecord ({ key, value, offset }: KeyedRecord): void {
    const trialOf = suspectKeys.parseTrial(key)
    const crash = suspectKeys.parseCrash(key)
    if (value === undefined) {
      if (crash !== undefined) this._onRecord.fire({ kind: 'crash', ...crash, atMs: Date.now(), isDeleted: true })
      return
    }
    const atMs = suspectRecordSchema.safeParse(parseJson(value)).data?.at_ms
    if (atMs === undefined) this._logger.warn({ key, offset }, 'suspect_record_unreadable')
    else if (crash !== undefined) this._onRecord.fire({ kind: 'crash', ...crash, atMs, isDeleted: false })
    else if (trialOf !== undefined) this._onRecord.fire({ kind: 'trial', fingerprint: trialOf, atMs })
  }
}

function encodeNow (): Uint8Array {
  return new TextEncoder().encode(JSON.stringify({ at_ms: Date.now() }))
}

import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { ILeadership } from './ILeadership.js'
import type { IStoreClient } from './IStoreClient.js'
import type { KeyedRecord } from './KeyedRecord.js'
import { KeyedTail } from './KeyedTail.js'
import type { LeaderRecord } from './LeaderRecord.js'
import { leaderRecordSchema } from './leaderRecordSchema.js'

/** Topic of the leadership records. */
const TOPIC = 'keyed.leader'
const KEY = 'leader'
/** Time without a renewal after which others may claim. Four renewals fit, so that single lost responses do no harm. */
const LEASE_MS = 1050
/** Part of the lease that its holder gives up, for timers that fire late. */
const GUARD_MS = 120
const RENEW_INTERVAL_MS = 200
const APPEND_TIMEOUT_MS = 320
const TICK_MS = 50
/** Spreads the claims of several entries, so that a returning leader and one of the others come first. */
const MAX_CLAIM_DELAY_MS = 150
/** Entries with fewer cores than this claim later, up to the delay of one without any. */
const REFERENCE_CORES = 1.3
const MAX_WEAKNESS_DELAY_MS = 500
/** A weak entry does not claim at once after its predecessor. */
const MAX_HEIR_DELAY_MS = 250
/** A candidate must have read the topic this recently. */
const FRESH_CONTACT_MS = 1500
/** Difference between wall clock and steady clock that shows that the process stood still. */
const PAUSE_MS = 400

interface Seen extends LeaderRecord { offset: number, receivedAtMs: number }

/** Leadership by conditional appends: a record counts only if nothing was appended since the one before it. */
export class Leadership extends Disposable implements ILeadership {
  private readonly _onGained = this._register(new Emitter<number>())
  readonly onGained = this._onGained.event
  private readonly _onLost = this._register(new Emitter<void>())
  readonly onLost = this._onLost.event
  private readonly _tail: KeyedTail
  private readonly _sentAtMs = new Map<number, number>()
  private _seen?: Seen
  private _endOffset = 0
  private _sequence = 0
  private _validUntilMs = Number.NEGATIVE_INFINITY
  private _renewedAtMs = Number.NEGATIVE_INFINITY
  private _heldEpoch?: number
  private _isAppending = false
  private _isRetired = false
  private readonly _weaknessDelayMs: number
  private _claimDelayMs = Math.random() * MAX_CLAIM_DELAY_MS
  private _clockOffsetMs = Date.now() - performance.now()

  constructor (
    private readonly _client: IStoreClient,
    private readonly _holder: string,
    private readonly _address: string,
    private readonly _logger: ILogger,
    cores = REFERENCE_CORES
  ) {
    super()
    this._weaknessDelayMs = MAX_WEAKNESS_DELAY_MS * Math.max(0, 1 - cores / REFERENCE_CORES)
    this._tail = this._register(new KeyedTail(_client, TOPIC, _logger))
    this._tail.onRecord(record => this._onRecord(record))
  }

  start (): void {
    this._tail.start()
    const timer = setInterval(() => this._tick(), TICK_MS)
    this._register(toDisposable(() => clearInterval(timer)))
  }

  get isLeader (): boolean {
    return this._heldEpoch !== undefined
  }

  get latestKnownEpoch (): number | undefined {
    return this._seen === undefined ? undefined : this._seen.epoch ?? this._seen.offset
  }

  observeLeader (epoch: number, address: string): void {
    if (epoch <= (this.latestKnownEpoch ?? Number.NEGATIVE_INFINITY)) return
    this._logger.info({ leader: address, epoch, epoch_before: this.latestKnownEpoch }, 'leader_reported')
    this._seen = { holder: '', address, epoch, sequence: 0, offset: epoch, receivedAtMs: performance.now() }
    if (this._heldEpoch !== undefined) this._lose('a newer leader was reported')
  }

  validEpoch (): number | undefined {
    this._checkPause()
    return this._heldEpoch !== undefined && performance.now() < this._validUntilMs ? this._heldEpoch : undefined
  }

  leaderAddress (): string | undefined {
    return this._seen === undefined || this._seen.released === true ? undefined : this._seen.address
  }

  async release (): Promise<void> {
    this._isRetired = true
    if (this._heldEpoch === undefined) return
    const epoch = this._heldEpoch
    this._lose('released')
    await this._append({ epoch, released: true })
  }

  /** The steady clock stands still while a machine is suspended; the wall clock does not. */
  private _checkPause (): void {
    const offsetMs = Date.now() - performance.now()
    const differenceMs = offsetMs - this._clockOffsetMs
    this._clockOffsetMs = offsetMs
    if (differenceMs < PAUSE_MS) return
    this._logger.warn({ pause_ms: Math.round(differenceMs), leader: this.isLeader }, 'clock_jumped')
    this._validUntilMs = Number.NEGATIVE_INFINITY
  }

  private _tick (): void {
    this._checkPause()
    if (this._isAppending || this._isRetired || !this._tail.isSynced) return
    const nowMs = performance.now()
    if (this._heldEpoch !== undefined) {
      if (nowMs - this._renewedAtMs >= RENEW_INTERVAL_MS) this._appendSoon({ epoch: this._heldEpoch })
    } else if (this._mayClaim(nowMs)) {
      this._appendSoon({})
    }
  }

  private _mayClaim (nowMs: number): boolean {
    const isFree = this._seen === undefined || this._seen.released === true
    // This process has replaced the holder's on the same host, so that one is gone.
    if (this._weaknessDelayMs < MAX_HEIR_DELAY_MS && this._seen?.address === this._address && this._seen.holder !== this._holder) return nowMs - this._tail.lastReadAtMs < FRESH_CONTACT_MS
    const freeAtMs = isFree ? this._seen?.receivedAtMs ?? 0 : (this._seen as Seen).receivedAtMs + LEASE_MS
    // After an outage the old leader, which has all state, comes before the others.
    const claimAtMs = Math.max(freeAtMs, this._tail.reachableSinceMs) + this._claimDelayMs + this._weaknessDelayMs
    return nowMs >= claimAtMs && nowMs - this._tail.lastReadAtMs < FRESH_CONTACT_MS
  }

  private _appendSoon (content: { epoch?: number }): void {
    this._append(content).catch((fault: unknown) => this._logger.error({ reason: String(fault) }, 'leader_append_fault'))
  }

  private async _append (content: { epoch?: number, released?: boolean }): Promise<void> {
    this._isAppending = true
    const sequence = ++this._sequence
    const record: LeaderRecord = { holder: this._holder, address: this._address, sequence, ...content }
    const sentAtMs = performance.now()
    this._sentAtMs.set(sequence, sentAtMs)
    this._renewedAtMs = sentAtMs
    const expectedEndOffset = this._endOffset
    const result = await this._client.append({
      topic: TOPIC,
      records: [{ key: KEY, value: new TextEncoder().encode(JSON.stringify(record)) }],
      expectedEndOffset,
      timeoutMs: APPEND_TIMEOUT_MS
    })
    this._isAppending = false
    if (result.isOk()) {
      this._apply(record, result.value.firstOffset)
    } else {
      // A refused or lost append is decided by what the tail reads.
      this._claimDelayMs = Math.random() * MAX_CLAIM_DELAY_MS
      if (this._heldEpoch === undefined) this._logger.info({ reason: result.error.kind, end_offset: expectedEndOffset }, 'leader_claim_failed')
    }
  }

  private _onRecord (record: KeyedRecord): void {
    if (record.key !== KEY || record.value === undefined) {
      this._endOffset = Math.max(this._endOffset, record.offset + 1)
      return
    }
    const parsed = leaderRecordSchema.safeParse(parseJson(record.value))
    if (parsed.success) {
      this._apply(parsed.data, record.offset)
    } else {
      this._endOffset = Math.max(this._endOffset, record.offset + 1)
      this._logger.error({ offset: record.offset }, 'leader_record_invalid')
    }
  }

  private _apply (record: LeaderRecord, offset: number): void {
    if (offset < this._endOffset) return
    this._endOffset = offset + 1
    const epoch = record.epoch ?? offset
    const isOwn = record.holder === this._holder
    if (this._seen?.holder !== record.holder || record.released === true) {
      this._logger.info({ leader: record.address, epoch, own: isOwn, released: record.released ?? false }, 'leader_changed')
    }
    this._seen = { ...record, offset, receivedAtMs: performance.now() }
    if (!isOwn || record.released === true) {
      if (this._heldEpoch !== undefined) this._lose('replaced')
      return
    }
    if (this._isRetired) return
    const sentAtMs = this._sentAtMs.get(record.sequence) ?? Number.NEGATIVE_INFINITY
    for (const sequence of this._sentAtMs.keys()) if (sequence <= record.sequence) this._sentAtMs.delete(sequence)
    this._validUntilMs = Math.max(this._validUntilMs, sentAtMs + LEASE_MS - GUARD_MS)
    if (this._heldEpoch === epoch) return
    this._heldEpoch = epoch
    this._onGained.fire(epoch)
  }

  private _lose (reason: string): void {
    this._logger.warn({ epoch: this._heldEpoch, reason }, 'leadership_lost')
    this._heldEpoch = undefined
    this._validUntilMs = Number.NEGATIVE_INFINITY
    this._onLost.fire()
  }
}

function parseJson (bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(bytes))
  } catch {
    return undefined
  }
}

import { Backoff } from '../kernel/Backoff.js'
import { ClockJumpDetector } from '../kernel/ClockJumpDetector.js'
import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import { parseJson } from '../kernel/parseJson.js'
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
/** Time without a renewal after which others may claim. Covers four renewals, so single lost responses do no harm. */
const LEASE_MS = 1050
/** The holder treats its lease as expired this much earlier, since timers may fire late. */
const LEASE_GUARD_MS = 120
const RENEW_INTERVAL_MS = 200
/** Shortest time-out of an append; a lost response costs little of the lease. */
const MIN_APPEND_TIMEOUT_MS = 320
/** Longest time-out of an append; a later response would not extend the lease. */
const MAX_APPEND_TIMEOUT_MS = 900
/** Time-out of an append in multiples of the time that the last one took. */
const APPEND_TIMEOUT_FACTOR = 1.3
const TICK_INTERVAL_MS = 50
/** An entry that could not serve its epoch waits this long before it claims another, so that other entries come first. */
const RESIGNED_CLAIM_DELAY_MS = 1000
/** Maximum random delay before a claim. Spreads the claims, so that a returning leader and one other entry come first. */
const MAX_CLAIM_JITTER_MS = 150
/** Longest delay after a failed claim. Hundreds of entries claim at once while the store rejects writes but serves reads. */
const MAX_CLAIM_BACKOFF_MS = 1000
/** Entries with fewer cores than this delay their claims in proportion to the missing share. */
const REFERENCE_CORES = 1.3
const MAX_LOW_CPU_DELAY_MS = 500
/**
 * An entry that has replaced the leader's process at the same address claims at once if its own delay for few cores is
 * below this.
 */
const IMMEDIATE_CLAIM_DELAY_LIMIT_MS = 250
/** An entry may claim only if its last successful read of the topic is more recent than this. */
const MAX_READ_AGE_MS = 1500

interface ObservedRecord extends LeaderRecord { offset: number, receivedAtMs: number }

/**
 * Leadership by conditional appends: the store accepts a record only if nothing was appended after the last record
 * that its sender has read.
 */
export class Leadership extends Disposable implements ILeadership {
  private readonly _onGained = this._register(new Emitter<number>())
  readonly onGained = this._onGained.event
  private readonly _onLost = this._register(new Emitter<void>())
  readonly onLost = this._onLost.event
  private readonly _tail: KeyedTail
  private readonly _sentAtMsBySequence = new Map<number, number>()
  private _latest?: ObservedRecord
  private _endOffset = 0
  private _sequence = 0
  private _validUntilMs = Number.NEGATIVE_INFINITY
  private _lastSentAtMs = Number.NEGATIVE_INFINITY
  private _heldEpoch?: number
  /** The last epoch that this entry held and gave up. */
  private _endedEpoch = Number.NEGATIVE_INFINITY
  private _resignedEpoch?: number
  /** Earliest time of the next append that tells the others of a resignation. */
  private _nextReleaseAtMs = Number.NEGATIVE_INFINITY
  /** Sequence number of the append that has no response yet and that the tail has not read. */
  private _pendingSequence?: number
  /** Time from sending the last append that took effect to learning so. */
  private _lastAppendMs = 0
  private _isReleased = false
  private _isStopped = false
  private readonly _lowCpuDelayMs: number
  private _claimJitterMs = Math.random() * MAX_CLAIM_JITTER_MS
  private readonly _claimBackoff = new Backoff(MAX_CLAIM_BACKOFF_MS)
  /** Earliest time of the next claim after a failed one. */
  private _nextClaimAtMs = Number.NEGATIVE_INFINITY
  private readonly _clockJumps = new ClockJumpDetector()

  constructor (
    private readonly _client: IStoreClient,
    private readonly _holder: string,
    private readonly _address: string,
    private readonly _logger: ILogger,
    cores = REFERENCE_CORES
  ) {
    super()
    this._lowCpuDelayMs = MAX_LOW_CPU_DELAY_MS * Math.max(0, 1 - cores / REFERENCE_CORES)
    this._tail = this._register(new KeyedTail(_client, TOPIC, _logger))
    this._tail.onRecord(record => this._onRecord(record))
  }

  start (): void {
    this._tail.start()
    const timer = setInterval(() => this._tick(), TICK_INTERVAL_MS)
    this._register(toDisposable(() => clearInterval(timer)))
  }

  override dispose (): void {
    this._isStopped = true
    super.dispose()
  }

  get isLeader (): boolean {
    return this._heldEpoch !== undefined
  }

  /** Whether this entry would learn of a new leader from the store. */
  get isObserving (): boolean {
    return this._tail.hasReadRecently
  }

  get latestKnownEpoch (): number | undefined {
    return this._latest === undefined ? undefined : this._latest.epoch ?? this._latest.offset
  }

  observeLeader (epoch: number, address: string): void {
    if (epoch <= (this.latestKnownEpoch ?? Number.NEGATIVE_INFINITY)) return
    this._logger.info({ leader: address, epoch, epoch_before: this.latestKnownEpoch }, 'leader_reported')
    this._latest = { holder: '', address, epoch, sequence: 0, offset: epoch, receivedAtMs: performance.now() }
    if (this._heldEpoch !== undefined) this._loseLeadership('a newer leader was reported')
  }

  validEpoch (): number | undefined {
    this._checkClockJump()
    return this._heldEpoch !== undefined && performance.now() < this._validUntilMs ? this._heldEpoch : undefined
  }

  leaderAddress (): string | undefined {
    if (this._latest === undefined || this._latest.released === true) return undefined
    return (this.latestKnownEpoch ?? 0) <= this._endedEpoch ? undefined : this._latest.address
  }

  resign (epoch: number, reason: string): void {
    if (this._heldEpoch !== epoch) return
    this._nextClaimAtMs = performance.now() + RESIGNED_CLAIM_DELAY_MS
    this._resignedEpoch = epoch
    this._loseLeadership(reason)
    this._tick()
  }

  async release (): Promise<void> {
    this._isReleased = true
    if (this._heldEpoch === undefined) return
    const epoch = this._heldEpoch
    this._loseLeadership('released')
    await this._append({ epoch, released: true })
  }

  /** Ends the lease after a suspension of the host, in which the monotonic clock stops but the wall clock does not. */
  private _checkClockJump (): void {
    const jumpMs = this._clockJumps.check()
    // A wall clock that steps back does not lengthen the lease.
    if (jumpMs === undefined || jumpMs < 0) return
    this._logger.warn({ pause_ms: Math.round(jumpMs), leader: this.isLeader }, 'clock_jumped')
    this._validUntilMs = Number.NEGATIVE_INFINITY
  }

  private _tick (): void {
    this._checkClockJump()
    if (this._pendingSequence !== undefined || this._isReleased || !this._tail.isSynced) return
    const nowMs = performance.now()
    if (this._heldEpoch !== undefined) {
      if (nowMs - this._lastSentAtMs >= RENEW_INTERVAL_MS) this._appendInBackground({ epoch: this._heldEpoch })
    } else if (this._mustReleaseResigned(nowMs)) {
      this._nextReleaseAtMs = nowMs + RENEW_INTERVAL_MS
      this._appendInBackground({ epoch: this._resignedEpoch, released: true })
    } else if (this._mayClaim(nowMs)) {
      this._appendInBackground({})
    }
  }

  /** Whether the others have yet to be told that this entry has resigned; otherwise they wait for the end of the lease. */
  private _mustReleaseResigned (nowMs: number): boolean {
    if (this._resignedEpoch === undefined || this._resignedEpoch !== this.latestKnownEpoch || this._latest?.released === true) return false
    return nowMs >= this._nextReleaseAtMs
  }

  private _mayClaim (nowMs: number): boolean {
    if (nowMs < this._nextClaimAtMs) return false
    const isVacant = this._latest === undefined || this._latest.released === true
    // This process has replaced the holder's process at the same address, so the holder no longer runs.
    if (this._lowCpuDelayMs < IMMEDIATE_CLAIM_DELAY_LIMIT_MS && this._latest?.address === this._address && this._latest.holder !== this._holder) return nowMs - this._tail.lastReadAtMs < MAX_READ_AGE_MS
    const vacantAtMs = isVacant ? this._latest?.receivedAtMs ?? 0 : (this._latest as ObservedRecord).receivedAtMs + LEASE_MS
    // After an outage of the store the previous leader, which has all state, gets to renew before others may claim.
    const claimAtMs = Math.max(vacantAtMs, this._tail.reachableSinceMs) + this._claimJitterMs + this._lowCpuDelayMs
    return nowMs >= claimAtMs && nowMs - this._tail.lastReadAtMs < MAX_READ_AGE_MS
  }

  private _appendInBackground (content: { epoch?: number, released?: boolean }): void {
    this._append(content).catch((fault: unknown) => this._logger.error({ reason: String(fault) }, 'leader_append_fault'))
  }

  private async _append (content: { epoch?: number, released?: boolean }): Promise<void> {
    const sequence = ++this._sequence
    this._pendingSequence = sequence
    const record: LeaderRecord = { holder: this._holder, address: this._address, sequence, ...content }
    const sentAtMs = performance.now()
    this._sentAtMsBySequence.set(sequence, sentAtMs)
    this._lastSentAtMs = sentAtMs
    const expectedEndOffset = this._endOffset
    const result = await this._client.append({
      topic: TOPIC,
      records: [{ key: KEY, value: new TextEncoder().encode(JSON.stringify(record)) }],
      expectedEndOffset,
      timeoutMs: this._appendTimeoutMs()
    })
    if (this._pendingSequence === sequence) this._pendingSequence = undefined
    if (result.isOk()) {
      this._apply(record, result.value.firstOffset)
    } else {
      // Whether a refused or lost append has taken effect is decided by the records that the tail reads.
      this._claimJitterMs = Math.random() * MAX_CLAIM_JITTER_MS
      if (this._heldEpoch === undefined) this._delayNextClaim(result.error.kind, expectedEndOffset)
    }
    // On a slow store the next renewal is due already.
    if (!this._isStopped) this._tick()
  }

  /** A renewal whose response comes after its time-out is followed by one that fails, because it expects the end before it. */
  private _appendTimeoutMs (): number {
    return Math.min(MAX_APPEND_TIMEOUT_MS, Math.max(MIN_APPEND_TIMEOUT_MS, APPEND_TIMEOUT_FACTOR * this._lastAppendMs))
  }

  private _delayNextClaim (reason: string, endOffset: number): void {
    const delayMs = this._claimBackoff.nextDelayMs()
    this._nextClaimAtMs = Math.max(this._nextClaimAtMs, performance.now() + delayMs)
    this._logger.info({ reason, end_offset: endOffset, retry_in_ms: Math.round(delayMs) }, 'leader_claim_failed')
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
    this._claimBackoff.reset()
    const epoch = record.epoch ?? offset
    // Another entry has reported a newer leader, whose record follows.
    if (epoch < (this.latestKnownEpoch ?? epoch)) return
    const isOwn = record.holder === this._holder
    if (this._latest?.holder !== record.holder || record.released === true) {
      this._logger.info({ leader: record.address, epoch, own: isOwn, released: record.released ?? false }, 'leader_changed')
    }
    this._latest = { ...record, offset, receivedAtMs: performance.now() }
    if (isOwn && record.released !== true) this._applyOwn(record.sequence, epoch)
    else if (this._heldEpoch !== undefined) this._loseLeadership('replaced')
  }

  /** Extends the lease of this entry, and gains the leadership if the epoch is new. */
  private _applyOwn (sequence: number, epoch: number): void {
    // A second term in one epoch would repeat the sequence numbers of the first.
    if (this._isReleased || epoch <= this._endedEpoch) return
    const sentAtMs = this._sentAtMsBySequence.get(sequence) ?? Number.NEGATIVE_INFINITY
    if (this._pendingSequence === sequence) this._pendingSequence = undefined
    if (Number.isFinite(sentAtMs)) this._lastAppendMs = performance.now() - sentAtMs
    for (const sent of this._sentAtMsBySequence.keys()) if (sent <= sequence) this._sentAtMsBySequence.delete(sent)
    this._validUntilMs = Math.max(this._validUntilMs, sentAtMs + LEASE_MS - LEASE_GUARD_MS)
    if (this._heldEpoch === epoch) return
    this._heldEpoch = epoch
    this._onGained.fire(epoch)
  }

  private _loseLeadership (reason: string): void {
    this._logger.warn({ epoch: this._heldEpoch, reason }, 'leadership_lost')
    this._endedEpoch = this._heldEpoch ?? this._endedEpoch
    this._heldEpoch = undefined
    this._validUntilMs = Number.NEGATIVE_INFINITY
    this._onLost.fire()
  }
}

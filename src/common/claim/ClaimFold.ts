import type { ILogFold } from '../log/ILogFold.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { ClaimRecord } from '../schema/ClaimRecord.js'
import { claimRecordSchema } from '../schema/claimRecordSchema.js'
import type { ClaimFoldListener } from './ClaimFoldListener.js'
import { claimKeyName } from './claimKeyName.js'
import type { StoredClaim } from './StoredClaim.js'

type Claim = Extract<ClaimRecord, { type: 'claim' }>
type Result = Extract<ClaimRecord, { type: 'result' }>
type Release = Extract<ClaimRecord, { type: 'release' }>

// About 50 MB without answers.
const MAX_KEYS = 100_000
// Base64 characters of the stored answers; older ones are dropped and then count as not kept.
const MAX_ANSWERS_LENGTH = 32_000_000
// Only memory depends on the sweep; claims are decided by their own times.
const SWEEP_INTERVAL_MS = 5000
// Bounds the cost of sweeping when the number of keys is at its bound.
const MIN_SWEEP_INTERVAL_MS = 100

/**
 * Fold of the `claims` stream. Keys are kept in the order of their newest claim record. A losing
 * claim extends the time for which its key is remembered: entries that briefly apply different key
 * windows after a contract change then still never see two winners within the shorter window.
 */
export class ClaimFold implements ILogFold {
  private readonly _claims = new Map<string, StoredClaim>()
  /** Names of the keys with a stored answer body, oldest first, with the body's length. */
  private readonly _answers = new Map<string, number>()
  private _answersLength = 0
  private _timeMs = 0
  private _sweptAtMs = Number.NEGATIVE_INFINITY
  private _evictedUpToMs = Number.NEGATIVE_INFINITY

  constructor (
    private readonly _windowMs: (organisation: string) => number,
    private readonly _listener: ClaimFoldListener,
    private readonly _logger: ILogger,
    private readonly _maxKeys = MAX_KEYS
  ) {}

  /** The claim that holds a key, as of the last record. */
  find (keyName: string): StoredClaim | undefined {
    return this._claims.get(keyName)
  }

  /** False when a key that was evicted for lack of memory could still be within a window that ends now. */
  isDecidable (windowMs: number): boolean {
    return this._timeMs - windowMs > this._evictedUpToMs
  }

  apply (entry: LogEntry): void {
    const parsed = claimRecordSchema.safeParse(entry.value)
    if (!parsed.success) {
      this._logger.warn({ stream: 'claims', offset: entry.offset }, 'claim_record_malformed')
      return
    }
    this._timeMs = Math.max(this._timeMs, entry.timeMs)
    this._sweep(SWEEP_INTERVAL_MS)
    const record = parsed.data
    if (record.type === 'claim') this._applyClaim(record)
    if (record.type === 'result') this._applyResult(record)
    if (record.type === 'release') this._applyRelease(record)
  }

  /** Lost records are older than retention and so are the claims known here, while windows are under a third of it. */
  onGap (): void {
    const names = [...this._claims.keys()]
    this._claims.clear()
    this._answers.clear()
    this._answersLength = 0
    for (const name of names) this._listener.onSettled(name, 'forgotten')
  }

  private _applyClaim (record: Claim): void {
    const name = claimKeyName(record)
    const known = this._claims.get(name)
    if (known !== undefined && this._timeMs - known.lastClaimAtMs < this._windowMs(record.organisation)) {
      known.lastClaimAtMs = this._timeMs
      known.appliedAtMs = performance.now()
      this._moveToEnd(name, known)
      return
    }
    this._forget(name)
    const claim: StoredClaim = {
      claimId: record.id,
      bodySha256: record.body_sha256,
      lastClaimAtMs: this._timeMs,
      appliedAtMs: performance.now()
    }
    this._claims.set(name, claim)
    this._evict()
    this._listener.onWon({ organisation: record.organisation, service: record.service, key: record.key }, claim)
  }

  private _applyResult (record: Result): void {
    const name = claimKeyName(record)
    const claim = this._claims.get(name)
    if (claim === undefined || claim.claimId !== record.claim_id || claim.answer !== undefined) return
    claim.answer = record.answer
    this._answers.set(name, record.answer.body_base64.length)
    this._answersLength += record.answer.body_base64.length
    this._dropOldAnswers()
    this._listener.onSettled(name, 'answered')
  }

  private _applyRelease (record: Release): void {
    const name = claimKeyName(record)
    const claim = this._claims.get(name)
    if (claim === undefined || claim.claimId !== record.claim_id || claim.answer !== undefined) return
    this._forget(name)
    this._listener.onSettled(name, 'released')
  }

  private _moveToEnd (name: string, claim: StoredClaim): void {
    this._claims.delete(name)
    this._claims.set(name, claim)
  }

  private _forget (name: string): void {
    this._claims.delete(name)
    this._answersLength -= this._answers.get(name) ?? 0
    this._answers.delete(name)
  }

  /** Forgets keys whose window has passed. */
  private _sweep (intervalMs: number): void {
    if (this._timeMs - this._sweptAtMs < intervalMs) return
    this._sweptAtMs = this._timeMs
    for (const [name, claim] of this._claims) {
      const organisation = name.slice(0, name.indexOf('/'))
      if (this._timeMs - claim.lastClaimAtMs < this._windowMs(organisation)) continue
      this._forget(name)
      this._listener.onSettled(name, 'forgotten')
    }
  }

  private _evict (): void {
    if (this._claims.size <= this._maxKeys) return
    this._sweep(MIN_SWEEP_INTERVAL_MS)
    if (this._claims.size <= this._maxKeys) return
    const oldest = this._claims.entries().next().value
    if (oldest === undefined) return
    const [name, claim] = oldest
    this._evictedUpToMs = claim.lastClaimAtMs
    this._forget(name)
    this._logger.error({ stream: 'claims', keys: this._maxKeys }, 'claim_key_evicted')
    this._listener.onSettled(name, 'forgotten')
  }

  private _dropOldAnswers (): void {
    for (const [name, length] of this._answers) {
      if (this._answersLength <= MAX_ANSWERS_LENGTH) return
      const claim = this._claims.get(name)
      if (claim?.answer !== undefined) claim.answer = { ...claim.answer, body_base64: '', body_omitted: true }
      this._answersLength -= length
      this._answers.delete(name)
    }
  }
}

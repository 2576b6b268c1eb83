import type { ILogFold } from '../log/ILogFold.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { ClaimRecord } from '../schema/ClaimRecord.js'
import { claimRecordSchema } from '../schema/claimRecordSchema.js'
import type { ClaimFoldListener } from './ClaimFoldListener.js'
import { claimKeyName } from './claimKeyName.js'
import type { StoredClaim } from './StoredClaim.js'

type Claim = Extract<ClaimRecord, { type: 'claim' }>
type ResultRecord = Extract<ClaimRecord, { type: 'result' }>
type ReleaseRecord = Extract<ClaimRecord, { type: 'release' }>

// About 50 MB without responses.
const MAX_KEYS = 100_000
// Base64 characters of all stored responses. Beyond it the oldest bodies are evicted and reported as not kept.
const MAX_RESPONSES_LENGTH = 32_000_000
// Affects only memory; whether a claim has expired is decided by its own times.
const SWEEP_INTERVAL_MS = 5000
// Bounds the cost of sweeping while the number of keys is at its limit.
const MIN_SWEEP_INTERVAL_MS = 100

/**
 * Fold of the `claims` stream. Keys are kept in the order of their latest claim record. A losing claim
 * restarts the key window: after a contract change, entries may briefly apply different windows, and
 * must still not see two winners within the shorter one.
 */
export class ClaimFold implements ILogFold {
  private readonly _claims = new Map<string, StoredClaim>()
  /** Length of the stored response body by key name, oldest response first. */
  private readonly _responseLengths = new Map<string, number>()
  private _totalResponseLength = 0
  /** Log time of the last applied record. */
  private _timeMs = 0
  private _lastSweepAtMs = Number.NEGATIVE_INFINITY
  /** Log time of the latest claim of the key that was evicted last to bound memory. */
  private _evictedUpToMs = Number.NEGATIVE_INFINITY

  constructor (
    private readonly _windowMs: (organisation: string) => number,
    private readonly _listener: ClaimFoldListener,
    private readonly _logger: ILogger,
    private readonly _maxKeys = MAX_KEYS
  ) {}

  /** The claim that holds a key, as of the last applied record. */
  find (keyName: string): StoredClaim | undefined {
    return this._claims.get(keyName)
  }

  /** False if a key that was evicted to bound memory could still be within its window. */
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
    this._removeExpired(SWEEP_INTERVAL_MS)
    const record = parsed.data
    if (record.type === 'claim') this._applyClaim(record)
    if (record.type === 'result') this._applyResult(record)
    if (record.type === 'release') this._applyRelease(record)
  }

  /**
   * Removes all claims. They precede the lost records, which are older than retention, and key windows are
   * under a third of retention, so all of them have expired.
   */
  onGap (): void {
    const keyNames = [...this._claims.keys()]
    this._claims.clear()
    this._responseLengths.clear()
    this._totalResponseLength = 0
    for (const keyName of keyNames) this._listener.onSettled(keyName, 'removed')
  }

  private _applyClaim (record: Claim): void {
    const keyName = claimKeyName(record)
    const known = this._claims.get(keyName)
    if (known !== undefined && this._timeMs - known.lastClaimAtMs < this._windowMs(record.organisation)) {
      known.lastClaimAtMs = this._timeMs
      known.appliedAtMs = performance.now()
      this._moveToEnd(keyName, known)
      return
    }
    this._remove(keyName)
    const claim: StoredClaim = {
      claimId: record.id,
      bodySha256: record.body_sha256,
      lastClaimAtMs: this._timeMs,
      appliedAtMs: performance.now()
    }
    this._claims.set(keyName, claim)
    this._evict()
    this._listener.onWon({ organisation: record.organisation, service: record.service, key: record.key }, claim)
  }

  private _applyResult (record: ResultRecord): void {
    const keyName = claimKeyName(record)
    const claim = this._claims.get(keyName)
    if (claim === undefined || claim.claimId !== record.claim_id || claim.response !== undefined) return
    claim.response = record.answer
    this._responseLengths.set(keyName, record.answer.body_base64.length)
    this._totalResponseLength += record.answer.body_base64.length
    this._evictResponses()
    this._listener.onSettled(keyName, 'completed')
  }

  private _applyRelease (record: ReleaseRecord): void {
    const keyName = claimKeyName(record)
    const claim = this._claims.get(keyName)
    if (claim === undefined || claim.claimId !== record.claim_id || claim.response !== undefined) return
    this._remove(keyName)
    this._listener.onSettled(keyName, 'released')
  }

  private _moveToEnd (keyName: string, claim: StoredClaim): void {
    this._claims.delete(keyName)
    this._claims.set(keyName, claim)
  }

  private _remove (keyName: string): void {
    this._claims.delete(keyName)
    this._totalResponseLength -= this._responseLengths.get(keyName) ?? 0
    this._responseLengths.delete(keyName)
  }

  /** Removes keys whose window has passed. */
  private _removeExpired (intervalMs: number): void {
    if (this._timeMs - this._lastSweepAtMs < intervalMs) return
    this._lastSweepAtMs = this._timeMs
    for (const [keyName, claim] of this._claims) {
      const organisation = keyName.slice(0, keyName.indexOf('/'))
      if (this._timeMs - claim.lastClaimAtMs < this._windowMs(organisation)) continue
      this._remove(keyName)
      this._listener.onSettled(keyName, 'removed')
    }
  }

  /** Removes the oldest key if there are too many. */
  private _evict (): void {
    if (this._claims.size <= this._maxKeys) return
    this._removeExpired(MIN_SWEEP_INTERVAL_MS)
    if (this._claims.size <= this._maxKeys) return
    const oldest = this._claims.entries().next().value
    if (oldest === undefined) return
    const [keyName, claim] = oldest
    this._evictedUpToMs = claim.lastClaimAtMs
    this._remove(keyName)
    this._logger.error({ stream: 'claims', keys: this._maxKeys }, 'claim_key_evicted')
    this._listener.onSettled(keyName, 'removed')
  }

  private _evictResponses (): void {
    for (const [keyName, length] of this._responseLengths) {
      if (this._totalResponseLength <= MAX_RESPONSES_LENGTH) return
      const claim = this._claims.get(keyName)
      if (claim?.response !== undefined) claim.response = { ...claim.response, body_base64: '', body_omitted: true }
      this._totalResponseLength -= length
      this._responseLengths.delete(keyName)
    }
  }
}

import type { ILogFold } from '../log/ILogFold.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { LeaseRecord } from '../schema/LeaseRecord.js'
import { leaseRecordSchema } from '../schema/leaseRecordSchema.js'
import type { LeaseState } from './LeaseState.js'

type LeaseRecordOf<T extends LeaseRecord['type']> = Extract<LeaseRecord, { type: T }>

// Lease durations after a gap until all holders are known. Five were too few in random record sequences in which
// former holders renew late.
const LEASE_DURATIONS_UNTIL_KNOWN = 7
// Lease durations after a gap in which accepted lease records are tentative. After two of them a lease record that
// is accepted by this entry is accepted by all; one more is a margin.
const TENTATIVE_LEASE_DURATIONS = 3
// Lease durations after a gap in which holders are recovered from renewals. It is longer than the time until all
// holders are known, which can only make this entry more cautious.
const RECOVERY_LEASE_DURATIONS = 10
// There is one lease per service; bounds memory in case of records with random names.
const MAX_LEASES = 10_000

/**
 * Fold of the `leases` stream. After a gap the lease records of current holders may be lost, so
 * holders are recovered from their renewals until enough log time has been read.
 */
export class LeaseFold implements ILogFold {
  private readonly _leases = new Map<string, LeaseState>()
  /** Log time of the first record after a gap; undefined until there is one. */
  private _coveredFromMs: number | undefined
  private _gapAtMs = Number.NEGATIVE_INFINITY
  /** Log time of the last applied record. */
  private _timeMs = Number.NEGATIVE_INFINITY
  private _isRecovering = false

  constructor (
    private readonly _leaseMs: number,
    private readonly _onApplied: (name: string) => void,
    private readonly _logger: ILogger
  ) {}

  /** Last known holder, whose lease may have expired. */
  find (name: string): LeaseState | undefined {
    return this._leases.get(name)
  }

  /** True if this entry knows all current holders, so that it may take a lease that appears to be free. */
  knowsAllHolders (): boolean {
    if (!this._isRecovering) return true
    return Math.max(this._coveredMs(), performance.now() - this._gapAtMs) >= this._leaseMs * LEASE_DURATIONS_UNTIL_KNOWN
  }

  apply (entry: LogEntry): void {
    const parsed = leaseRecordSchema.safeParse(entry.value)
    if (!parsed.success) {
      this._logger.warn({ stream: 'leases', offset: entry.offset }, 'lease_record_malformed')
      return
    }
    this._timeMs = Math.max(this._timeMs, entry.timeMs)
    this._coveredFromMs ??= this._timeMs
    if (this._coveredMs() >= this._leaseMs * RECOVERY_LEASE_DURATIONS) this._isRecovering = false
    const record = parsed.data
    if (record.type === 'lease') this._applyLease(entry.offset, record)
    if (record.type === 'renew') this._applyRenewal(record)
    if (record.type === 'yield') this._applyYield(record)
    this._onApplied(record.name)
  }

  onGap (): void {
    const names = [...this._leases.keys()]
    this._leases.clear()
    this._coveredFromMs = undefined
    this._gapAtMs = performance.now()
    this._isRecovering = true
    for (const name of names) this._onApplied(name)
  }

  private _applyLease (offset: number, record: LeaseRecordOf<'lease'>): void {
    const held = this._leases.get(record.name)
    if (held !== undefined && !this._hasExpired(held)) return
    if (held === undefined && this._leases.size >= MAX_LEASES) return
    const isTentative = this._isRecovering && this._coveredMs() < this._leaseMs * TENTATIVE_LEASE_DURATIONS
    this._setHolder(record, offset, record.lease_ms, isTentative)
    this._logger.info({ lease: record.name, holder: record.holder, fence: offset }, 'lease_taken')
  }

  private _applyRenewal (record: LeaseRecordOf<'renew'>): void {
    const held = this._leases.get(record.name)
    const isHolder = held !== undefined && held.holder === record.holder && held.fence === record.fence
    if (isHolder) {
      // An expired lease is not renewed: by its own clock the holder has stopped acting, and must acquire a new lease.
      if (!this._hasExpired(held)) this._setHolder(record, held.fence, held.leaseMs, false)
      return
    }
    if (!this._isRecovering) return
    if (held === undefined || held.isTentative || record.fence > held.fence) {
      this._setHolder(record, record.fence, held?.leaseMs ?? this._leaseMs, false)
    }
  }

  private _applyYield (record: LeaseRecordOf<'yield'>): void {
    const held = this._leases.get(record.name)
    if (held?.holder === record.holder && held.fence === record.fence) this._leases.delete(record.name)
  }

  private _setHolder (record: LeaseRecord, fence: number, leaseMs: number, isTentative: boolean): void {
    this._leases.set(record.name, {
      holder: record.holder,
      fence,
      leaseMs,
      renewedAtMs: this._timeMs,
      appliedAtMs: performance.now(),
      recordId: record.id,
      isTentative
    })
  }

  /** Duration of the log time read since the last gap. */
  private _coveredMs (): number {
    return this._timeMs - (this._coveredFromMs ?? this._timeMs)
  }

  private _hasExpired (held: LeaseState): boolean {
    return this._timeMs - held.renewedAtMs >= held.leaseMs
  }
}

import type { ILogFold } from '../log/ILogFold.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { LeaseRecord } from '../schema/LeaseRecord.js'
import { leaseRecordSchema } from '../schema/leaseRecordSchema.js'
import type { LeaseState } from './LeaseState.js'

type LeaseEvent<T extends LeaseRecord['type']> = Extract<LeaseRecord, { type: T }>

// Five lease durations were too few in random record sequences in which former holders renew late.
const LEASES_UNTIL_EXACT = 7
// After two lease durations a lease record that is accepted here is accepted everywhere; one more is a margin.
const LEASES_OF_DOUBT = 3
// Holders are learnt from renewals for longer, which can only make this entry more cautious.
const LEASES_OF_LEARNING = 10
// A lease per service; bounds memory against records with random names.
const MAX_NAMES = 10_000

/**
 * Fold of the `leases` stream. After a gap the lease records of current holders may be lost, so
 * holders are learnt from their renewals until enough log time has been read.
 */
export class LeaseFold implements ILogFold {
  private readonly _leases = new Map<string, LeaseState>()
  /** Log time of the first record after a gap; undefined until there is one. */
  private _coveredFromMs: number | undefined
  private _gapAtMs = Number.NEGATIVE_INFINITY
  private _timeMs = Number.NEGATIVE_INFINITY
  private _isLearning = false

  constructor (
    private readonly _leaseMs: number,
    private readonly _onApplied: (name: string) => void,
    private readonly _logger: ILogger
  ) {}

  /** Last known holder, whose lease may have lapsed. */
  find (name: string): LeaseState | undefined {
    return this._leases.get(name)
  }

  /** True when this entry may decide to take a lease: it knows every holder that there can be. */
  knowsAllHolders (): boolean {
    if (!this._isLearning) return true
    return Math.max(this._coveredMs(), performance.now() - this._gapAtMs) >= this._leaseMs * LEASES_UNTIL_EXACT
  }

  apply (entry: LogEntry): void {
    const parsed = leaseRecordSchema.safeParse(entry.value)
    if (!parsed.success) {
      this._logger.warn({ stream: 'leases', offset: entry.offset }, 'lease_record_malformed')
      return
    }
    this._timeMs = Math.max(this._timeMs, entry.timeMs)
    this._coveredFromMs ??= this._timeMs
    if (this._coveredMs() >= this._leaseMs * LEASES_OF_LEARNING) this._isLearning = false
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
    this._isLearning = true
    for (const name of names) this._onApplied(name)
  }

  private _applyLease (offset: number, record: LeaseEvent<'lease'>): void {
    const held = this._leases.get(record.name)
    if (held !== undefined && !this._hasLapsed(held)) return
    if (held === undefined && this._leases.size >= MAX_NAMES) return
    const isTentative = this._isLearning && this._coveredMs() < this._leaseMs * LEASES_OF_DOUBT
    this._hold(record, offset, record.lease_ms, isTentative)
    this._logger.info({ lease: record.name, holder: record.holder, fence: offset }, 'lease_taken')
  }

  private _applyRenewal (record: LeaseEvent<'renew'>): void {
    const held = this._leases.get(record.name)
    const isHolder = held !== undefined && held.holder === record.holder && held.fence === record.fence
    if (isHolder) {
      // A lapsed lease is not revived: its holder has stopped by its own clock and must take a new one.
      if (!this._hasLapsed(held)) this._hold(record, held.fence, held.leaseMs, false)
      return
    }
    if (!this._isLearning) return
    if (held === undefined || held.isTentative || record.fence > held.fence) {
      this._hold(record, record.fence, held?.leaseMs ?? this._leaseMs, false)
    }
  }

  private _applyYield (record: LeaseEvent<'yield'>): void {
    const held = this._leases.get(record.name)
    if (held?.holder === record.holder && held.fence === record.fence) this._leases.delete(record.name)
  }

  private _hold (record: LeaseRecord, fence: number, leaseMs: number, isTentative: boolean): void {
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

  /** Log time read since the last gap. */
  private _coveredMs (): number {
    return this._timeMs - (this._coveredFromMs ?? this._timeMs)
  }

  private _hasLapsed (held: LeaseState): boolean {
    return this._timeMs - held.renewedAtMs >= held.leaseMs
  }
}

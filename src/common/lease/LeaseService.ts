import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import { startInterval } from '../kernel/startInterval.js'
import type { ILogHub } from '../log/ILogHub.js'
import { logHubId } from '../log/logHubId.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import { loggerId } from '../metrics/loggerId.js'
import { metricsId } from '../metrics/metricsId.js'
import type { LeaseRecord } from '../schema/LeaseRecord.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import type { ILeaseService } from './ILeaseService.js'
import type { Lease } from './Lease.js'
import { LeaseFold } from './LeaseFold.js'
import type { LeaseState } from './LeaseState.js'

// Numbers of checks and of renewals of a lease within its duration.
const CHECKS_PER_LEASE = 20
const RENEWALS_PER_LEASE = 3
// Longest random delay between attempts to take a free lease, as a ratio of the lease duration; spreads the attempts
// of different entries.
const ACQUIRE_JITTER_RATIO = 1 / 4
// Records whose send time is kept; more are never in flight for the leases of one entry.
const MAX_SENT_RECORDS = 1000

/** State of a lease that this entry holds or tries to acquire. */
interface Acquisition { isSending: boolean, nextAttemptAtMs: number }

/** Acquires, renews and releases leases through the `leases` stream. */
export class LeaseService extends Disposable implements ILeaseService {
  private readonly _onGained = this._register(new Emitter<Lease>())
  readonly onGained = this._onGained.event
  private readonly _onLost = this._register(new Emitter<Lease>())
  readonly onLost = this._onLost.event
  private readonly _fold: LeaseFold
  /** Unique to this process, so that a restarted entry does not renew the leases of its previous process. */
  private readonly _holder: string
  private readonly _acquisitions = new Map<string, Acquisition>()
  /** `performance.now()` right before each record of this entry was first sent, by record id. */
  private readonly _sentAtMs = new Map<string, number>()
  /** Leases for which `onGained` has fired, but not yet `onLost`. */
  private readonly _reported = new Map<string, Lease>()

  constructor (
    @logHubId private readonly _hub: ILogHub,
    @entrySettingsId private readonly _settings: EntrySettings,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    this._holder = `${_settings.id}:${crypto.randomUUID()}`
    this._fold = new LeaseFold(_settings.leaseMs, name => this._onApplied(name), _logger)
    this._hub.addFold('leases', this._fold)
  }

  start (): void {
    this._register(startInterval(() => this._check(), this._settings.leaseMs / CHECKS_PER_LEASE))
  }

  acquire (name: string): void {
    if (!this._acquisitions.has(name)) this._acquisitions.set(name, { isSending: false, nextAttemptAtMs: 0 })
  }

  release (name: string): void {
    this._acquisitions.delete(name)
    const state = this._fold.find(name)
    if (state?.holder === this._holder) this._yield(name, state)
    this._reportChange(name)
  }

  held (name: string): Lease | undefined {
    const state = this._fold.find(name)
    if (state?.holder !== this._holder || !this._acquisitions.has(name) || !this._fold.knowsAllHolders()) return undefined
    const sentAtMs = this._sentAtMs.get(state.recordId)
    const validMs = state.leaseMs - this._settings.leaseGuardMs
    // Checked on each call, because no timer has run yet right after a pause of the process.
    if (sentAtMs === undefined || performance.now() - sentAtMs >= validMs) return undefined
    return { name, fence: state.fence }
  }

  private _check (): void {
    for (const [name, acquisition] of this._acquisitions) {
      this._reportChange(name)
      if (!acquisition.isSending) this._sendNextRecord(name, acquisition)
    }
  }

  /** Sends the next record for a lease, if one is due. */
  private _sendNextRecord (name: string, acquisition: Acquisition): void {
    const nowMs = performance.now()
    const state = this._fold.find(name)
    if (state?.holder === this._holder && nowMs - state.appliedAtMs < state.leaseMs) {
      const sentAtMs = this._sentAtMs.get(state.recordId) ?? Number.NEGATIVE_INFINITY
      if (nowMs - sentAtMs < state.leaseMs / RENEWALS_PER_LEASE) return
      this._send(name, acquisition, { type: 'renew', id: crypto.randomUUID(), name, holder: this._holder, fence: state.fence })
      return
    }
    const isTaken = state !== undefined && nowMs - state.appliedAtMs < state.leaseMs
    if (isTaken || nowMs < acquisition.nextAttemptAtMs || !this._mayAcquire()) return
    acquisition.nextAttemptAtMs = nowMs + Math.random() * this._settings.leaseMs * ACQUIRE_JITTER_RATIO
    this._send(name, acquisition, { type: 'lease', id: crypto.randomUUID(), name, holder: this._holder, lease_ms: this._settings.leaseMs })
  }

  private _mayAcquire (): boolean {
    return this._hub.status('leases').isCaughtUp && this._fold.knowsAllHolders()
  }

  private _send (name: string, acquisition: Acquisition, record: LeaseRecord): void {
    acquisition.isSending = true
    this._recordSendTime(record.id)
    const done = (result: string): void => {
      acquisition.isSending = false
      this._metrics.count('lease_records', { type: record.type, result })
    }
    this._hub.append('leases', record, this._settings.leaseMs).match(() => done('ok'), error => {
      this._logger.warn({ lease: name, type: record.type, error: error.message }, 'lease_record_not_confirmed')
      done(error.kind)
    }).catch((error: unknown) => done(String(error)))
  }

  private _recordSendTime (id: string): void {
    this._sentAtMs.set(id, performance.now())
    const [oldest] = this._sentAtMs.keys()
    if (this._sentAtMs.size > MAX_SENT_RECORDS && oldest !== undefined) this._sentAtMs.delete(oldest)
  }

  private _onApplied (name: string): void {
    const state = this._fold.find(name)
    // A lease record can be read back after this entry has released the lease.
    if (state?.holder === this._holder && !this._acquisitions.has(name)) this._yield(name, state)
    this._reportChange(name)
  }

  private _yield (name: string, state: LeaseState): void {
    this._hub.appendEventually('leases', {
      type: 'yield', id: crypto.randomUUID(), name, holder: this._holder, fence: state.fence
    } as { id: string })
  }

  /** Fires the events for a change since they last fired. */
  private _reportChange (name: string): void {
    const previous = this._reported.get(name)
    const current = this.held(name)
    if (previous?.fence === current?.fence) return
    if (previous !== undefined) {
      this._reported.delete(name)
      this._logger.info({ lease: name, fence: previous.fence }, 'lease_lost')
      this._onLost.fire(previous)
    }
    if (current === undefined) return
    this._reported.set(name, current)
    this._logger.info({ lease: name, fence: current.fence }, 'lease_gained')
    this._onGained.fire(current)
  }
}

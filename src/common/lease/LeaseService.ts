import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import { toDisposable } from '../kernel/toDisposable.js'
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

const CHECKS_PER_LEASE = 20
const RENEWALS_PER_LEASE = 3
// Spread of the attempts of different entries to take a free lease, as a part of the lease.
const SEEK_JITTER = 1 / 4
// Records whose sending time is remembered; more are never in flight for one entry's leases.
const MAX_SENT = 1000

interface Sought { isSending: boolean, nextAttemptAtMs: number }

/** Takes, renews and gives up leases through the `leases` stream. */
export class LeaseService extends Disposable implements ILeaseService {
  private readonly _onGained = this._register(new Emitter<Lease>())
  readonly onGained = this._onGained.event
  private readonly _onLost = this._register(new Emitter<Lease>())
  readonly onLost = this._onLost.event
  private readonly _fold: LeaseFold
  /** Unique for this process, so that a restarted entry does not renew its predecessor's leases. */
  private readonly _holder: string
  private readonly _sought = new Map<string, Sought>()
  /** `performance.now()` before the first sending of each own record, by record id. */
  private readonly _sentAtMs = new Map<string, number>()
  private readonly _announced = new Map<string, Lease>()

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
    const timer = setInterval(() => this._check(), this._settings.leaseMs / CHECKS_PER_LEASE)
    this._register(toDisposable(() => clearInterval(timer)))
  }

  acquire (name: string): void {
    if (!this._sought.has(name)) this._sought.set(name, { isSending: false, nextAttemptAtMs: 0 })
  }

  release (name: string): void {
    this._sought.delete(name)
    const state = this._fold.find(name)
    if (state?.holder === this._holder) this._yield(name, state)
    this._announce(name)
  }

  held (name: string): Lease | undefined {
    const state = this._fold.find(name)
    if (state?.holder !== this._holder || !this._sought.has(name) || !this._fold.knowsAllHolders()) return undefined
    const sentAtMs = this._sentAtMs.get(state.recordId)
    const limitMs = state.leaseMs - this._settings.leaseGuardMs
    // Compared at the moment of the call: after a pause no timer has run yet.
    if (sentAtMs === undefined || performance.now() - sentAtMs >= limitMs) return undefined
    return { name, fence: state.fence }
  }

  private _check (): void {
    for (const [name, sought] of this._sought) {
      this._announce(name)
      if (!sought.isSending) this._advance(name, sought)
    }
  }

  /** Sends the next record for a lease, if one is due. */
  private _advance (name: string, sought: Sought): void {
    const nowMs = performance.now()
    const state = this._fold.find(name)
    if (state?.holder === this._holder && nowMs - state.appliedAtMs < state.leaseMs) {
      const sentAtMs = this._sentAtMs.get(state.recordId) ?? Number.NEGATIVE_INFINITY
      if (nowMs - sentAtMs < state.leaseMs / RENEWALS_PER_LEASE) return
      this._send(name, sought, { type: 'renew', id: crypto.randomUUID(), name, holder: this._holder, fence: state.fence })
      return
    }
    const isTaken = state !== undefined && nowMs - state.appliedAtMs < state.leaseMs
    if (isTaken || nowMs < sought.nextAttemptAtMs || !this._mayTake()) return
    sought.nextAttemptAtMs = nowMs + Math.random() * this._settings.leaseMs * SEEK_JITTER
    this._send(name, sought, { type: 'lease', id: crypto.randomUUID(), name, holder: this._holder, lease_ms: this._settings.leaseMs })
  }

  private _mayTake (): boolean {
    return this._hub.status('leases').isCaughtUp && this._fold.knowsAllHolders()
  }

  private _send (name: string, sought: Sought, record: LeaseRecord): void {
    sought.isSending = true
    this._rememberSent(record.id)
    const done = (result: string): void => {
      sought.isSending = false
      this._metrics.count('lease_records', { type: record.type, result })
    }
    this._hub.append('leases', record, this._settings.leaseMs).match(() => done('ok'), error => {
      this._logger.warn({ lease: name, type: record.type, error: error.message }, 'lease_record_not_confirmed')
      done(error.kind)
    }).catch((error: unknown) => done(String(error)))
  }

  private _rememberSent (id: string): void {
    this._sentAtMs.set(id, performance.now())
    const [oldest] = this._sentAtMs.keys()
    if (this._sentAtMs.size > MAX_SENT && oldest !== undefined) this._sentAtMs.delete(oldest)
  }

  private _onApplied (name: string): void {
    const state = this._fold.find(name)
    // A lease record can land after this entry has stopped seeking.
    if (state?.holder === this._holder && !this._sought.has(name)) this._yield(name, state)
    this._announce(name)
  }

  private _yield (name: string, state: LeaseState): void {
    this._hub.appendEventually('leases', {
      type: 'yield', id: crypto.randomUUID(), name, holder: this._holder, fence: state.fence
    } as { id: string })
  }

  /** Fires the events for a change since the last announcement. */
  private _announce (name: string): void {
    const before = this._announced.get(name)
    const now = this.held(name)
    if (before?.fence === now?.fence) return
    if (before !== undefined) {
      this._announced.delete(name)
      this._logger.info({ lease: name, fence: before.fence }, 'lease_lost')
      this._onLost.fire(before)
    }
    if (now === undefined) return
    this._announced.set(name, now)
    this._logger.info({ lease: name, fence: now.fence }, 'lease_gained')
    this._onGained.fire(now)
  }
}

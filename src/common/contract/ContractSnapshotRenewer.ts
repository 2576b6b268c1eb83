import { Disposable } from '../kernel/Disposable.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogHub } from '../log/ILogHub.js'
import { logHubId } from '../log/logHubId.js'
import type { ILogger } from '../metrics/ILogger.js'
import { loggerId } from '../metrics/loggerId.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import type { ContractRenewal } from './ContractRenewal.js'
import type { ContractRevision } from './ContractRevision.js'
import { replicatedContractStoreId } from './replicatedContractStoreId.js'
import type { IReplicatedContractStore } from './IReplicatedContractStore.js'

const RENEW_AFTER = 1 / 3
// An entry that lost records renews only when no entry with complete knowledge has done so.
const RENEW_INEXACT_AFTER = 1 / 2
// Spread of the renewals of different entries, as a part of retention.
const JITTER = 1 / 12
const CHECKS_PER_RETENTION = 120
const MIN_CHECK_INTERVAL_MS = 50
const APPEND_TIMEOUT_MS = 5000
const MAX_SNAPSHOT_REVISIONS = 8
const MAX_SNAPSHOT_LENGTH = 200_000

/** Appends snapshots of contracts before the log drops their newest record. */
export class ContractSnapshotRenewer extends Disposable {
  /** Planned renewal by organisation, for the record that it renews. */
  private readonly _plans = new Map<string, { keptAtMs: number | undefined, dueAtMs: number }>()
  private readonly _inFlight = new Set<string>()

  constructor (
    @replicatedContractStoreId private readonly _contracts: IReplicatedContractStore,
    @logHubId private readonly _hub: ILogHub,
    @entrySettingsId private readonly _settings: EntrySettings,
    @loggerId private readonly _logger: ILogger
  ) {
    super()
  }

  start (): void {
    const intervalMs = Math.max(MIN_CHECK_INTERVAL_MS, this._settings.retentionMs / CHECKS_PER_RETENTION)
    const timer = setInterval(() => this._check(), intervalMs)
    this._register(toDisposable(() => clearInterval(timer)))
  }

  private _check (): void {
    const { isCaughtUp, isFailing } = this._hub.status('contracts')
    if (!isCaughtUp || isFailing) return
    for (const { organisation } of this._contracts.all()) {
      const renewal = this._contracts.renewal(organisation)
      if (renewal !== undefined && this._isDue(organisation, renewal)) this._renew(organisation, renewal)
    }
  }

  private _isDue (organisation: string, renewal: ContractRenewal): boolean {
    const plan = this._plans.get(organisation)
    if (plan !== undefined && plan.keptAtMs === renewal.lastRecordAtMs) return Date.now() >= plan.dueAtMs
    const { retentionMs } = this._settings
    // Log times may be older than this host's clock by hours after an outage: then only the jitter remains.
    const earliestMs = (renewal.lastRecordAtMs ?? 0) + retentionMs * (renewal.isExact ? RENEW_AFTER : RENEW_INEXACT_AFTER)
    const dueAtMs = Math.max(earliestMs, Date.now()) + Math.random() * retentionMs * JITTER
    this._plans.set(organisation, { keptAtMs: renewal.lastRecordAtMs, dueAtMs })
    return false
  }

  private _renew (organisation: string, renewal: ContractRenewal): void {
    if (this._inFlight.has(organisation)) return
    this._inFlight.add(organisation)
    const record = {
      type: 'snapshot',
      id: crypto.randomUUID(),
      organisation,
      // Taken in the same turn as the renewal's revisions, so that both describe one position.
      read_offset: this._hub.status('contracts').nextOffset,
      revisions: newest(renewal.revisions).map(({ revision, operator, atMs, text }) => ({ revision, operator, at_ms: atMs, text }))
    }
    const done = (result: string): void => {
      this._inFlight.delete(organisation)
      this._plans.delete(organisation)
      this._logger.info({ organisation, revision: renewal.revisions.at(-1)?.revision, result }, 'contract_snapshot_renewed')
    }
    this._hub.append('contracts', record, APPEND_TIMEOUT_MS).match(() => done('ok'), error => done(error.kind))
      .catch((error: unknown) => done(String(error)))
  }
}

/** Newest revisions within the bounds of a snapshot; the one in force always. */
function newest (revisions: ContractRevision[]): ContractRevision[] {
  const kept: ContractRevision[] = []
  let length = 0
  for (const revision of revisions.slice(-MAX_SNAPSHOT_REVISIONS).reverse()) {
    length += revision.text.length
    if (kept.length > 0 && length > MAX_SNAPSHOT_LENGTH) break
    kept.unshift(revision)
  }
  return kept
}

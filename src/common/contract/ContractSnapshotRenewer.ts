import { Disposable } from '../kernel/Disposable.js'
import { startInterval } from '../kernel/startInterval.js'
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

// Fractions of the log retention.
const RENEW_AFTER = 1 / 3
// Longer, so that an entry that lost records renews only if no entry with exact state has done so.
const RENEW_INEXACT_AFTER = 1 / 2
// Spreads the renewals of different entries.
const JITTER = 1 / 12
const CHECKS_PER_RETENTION = 120
const MIN_CHECK_INTERVAL_MS = 50
const APPEND_TIMEOUT_MS = 5000
const MAX_SNAPSHOT_REVISIONS = 8
const MAX_SNAPSHOT_TEXT_LENGTH = 200_000

/** Appends snapshots of contracts before retention removes their newest record from the log. */
export class ContractSnapshotRenewer extends Disposable {
  /** Planned renewal by organisation, for the log time of the record that it replaces. */
  private readonly _plannedRenewals = new Map<string, { lastRecordAtMs: number | undefined, dueAtMs: number }>()
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
    this._register(startInterval(() => this._check(), intervalMs))
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
    const planned = this._plannedRenewals.get(organisation)
    if (planned !== undefined && planned.lastRecordAtMs === renewal.lastRecordAtMs) return Date.now() >= planned.dueAtMs
    const { retentionMs } = this._settings
    // After an outage, log times may be hours behind this host's clock; the renewal is then due after the jitter alone.
    const earliestMs = (renewal.lastRecordAtMs ?? 0) + retentionMs * (renewal.isExact ? RENEW_AFTER : RENEW_INEXACT_AFTER)
    const dueAtMs = Math.max(earliestMs, Date.now()) + Math.random() * retentionMs * JITTER
    this._plannedRenewals.set(organisation, { lastRecordAtMs: renewal.lastRecordAtMs, dueAtMs })
    return false
  }

  private _renew (organisation: string, renewal: ContractRenewal): void {
    if (this._inFlight.has(organisation)) return
    this._inFlight.add(organisation)
    const record = {
      type: 'snapshot',
      id: crypto.randomUUID(),
      organisation,
      // Read in the same event loop turn as the revisions, so that both describe the same log position.
      read_offset: this._hub.status('contracts').nextOffset,
      revisions: selectRevisions(renewal.revisions).map(({ revision, operator, atMs, text }) => ({ revision, operator, at_ms: atMs, text }))
    }
    const done = (result: string): void => {
      this._inFlight.delete(organisation)
      this._plannedRenewals.delete(organisation)
      this._logger.info({ organisation, revision: renewal.revisions.at(-1)?.revision, result }, 'contract_snapshot_renewed')
    }
    this._hub.append('contracts', record, APPEND_TIMEOUT_MS).match(() => done('ok'), error => done(error.kind))
      .catch((error: unknown) => done(String(error)))
  }
}

/** Newest revisions within the size limits of a snapshot; always contains the one in force. */
function selectRevisions (revisions: ContractRevision[]): ContractRevision[] {
  const selected: ContractRevision[] = []
  let length = 0
  for (const revision of revisions.slice(-MAX_SNAPSHOT_REVISIONS).reverse()) {
    length += revision.text.length
    if (selected.length > 0 && length > MAX_SNAPSHOT_TEXT_LENGTH) break
    selected.unshift(revision)
  }
  return selected
}

import { Disposable } from '../../kernel/Disposable.js'
import { startInterval } from '../../kernel/startInterval.js'
import { toDisposable } from '../../kernel/toDisposable.js'
import type { ILogHub } from '../../log/ILogHub.js'
import { logHubId } from '../../log/logHubId.js'
import type { ILogger } from '../../metrics/ILogger.js'
import type { IMetrics } from '../../metrics/IMetrics.js'
import { loggerId } from '../../metrics/loggerId.js'
import { metricsId } from '../../metrics/metricsId.js'
import type { EntrySettings } from '../../settings/EntrySettings.js'
import { entrySettingsId } from '../../settings/entrySettingsId.js'
import type { ITrainerSnapshotRenewer } from './ITrainerSnapshotRenewer.js'
import type { IStepTable } from '../step/IStepTable.js'
import type { TrainerState } from '../step/TrainerState.js'
import { createTrainerSnapshot } from './createTrainerSnapshot.js'
import { stepTableId } from '../step/stepTableId.js'

const MAX_CHECK_INTERVAL_MS = 60_000
const CHECKS_PER_RETENTION = 100
const SNAPSHOT_REQUEST_TIMEOUT_MS = 5000
// Spreads the responses of the entries, so that most of them see the snapshot of another entry first.
const SNAPSHOT_RESPONSE_JITTER_MS = 1500
// Longer than the jitter plus one append; without a snapshot by then, no other entry has the state.
const SNAPSHOT_WAIT_MS = 10_000

/**
 * Appends a snapshot of every trainer's state once the oldest record that it needs is 0.7 to 0.95 of a third of
 * the retention time old, and when another entry requests it with a `want` record.
 */
export class TrainerSnapshotRenewer extends Disposable implements ITrainerSnapshotRenewer {
  /** Planned renewal by `ORGANISATION/TRAINER`. A change of `neededSinceMs`, see `IStepTable.all`, makes the plan obsolete. */
  private readonly _renewals = new Map<string, { neededSinceMs: number, dueAtMs: number }>()
  private readonly _timers = new Set<ReturnType<typeof setTimeout>>()
  /** Number of the current wait for snapshots; a timer of an earlier wait has no effect. */
  private _gapWaitNumber = 0

  constructor (
    @stepTableId private readonly _table: IStepTable,
    @logHubId private readonly _hub: ILogHub,
    @entrySettingsId private readonly _settings: EntrySettings,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    this._register(toDisposable(() => {
      this._gapWaitNumber++
      for (const timer of this._timers) clearTimeout(timer)
    }))
  }

  start (): void {
    const intervalMs = Math.min(MAX_CHECK_INTERVAL_MS, Math.max(1, this._settings.retentionMs / CHECKS_PER_RETENTION))
    this._register(startInterval(() => this._checkRenewals(), intervalMs))
    this._register(this._table.onSnapshotRequest((offset) => {
      this._schedule(Math.random() * SNAPSHOT_RESPONSE_JITTER_MS, () => this._respondToSnapshotRequest(offset))
    }))
    this._register(this._hub.onCaughtUp((stream) => {
      if (stream === 'steps') this._requestSnapshotsAfterGap()
    }))
    if (this._hub.status('steps').isCaughtUp) this._requestSnapshotsAfterGap()
  }

  private _checkRenewals (): void {
    for (const { state, neededSinceMs } of this._table.all()) {
      if (Date.now() >= this._dueAtMs(`${state.organisation}/${state.trainer}`, neededSinceMs)) {
        this._appendSnapshot(state)
      }
    }
  }

  private _dueAtMs (key: string, neededSinceMs: number): number {
    const planned = this._renewals.get(key)
    if (planned?.neededSinceMs === neededSinceMs) return planned.dueAtMs
    const dueAtMs = neededSinceMs + (this._settings.retentionMs / 3) * (0.7 + Math.random() * 0.25)
    this._renewals.set(key, { neededSinceMs, dueAtMs })
    return dueAtMs
  }

  private _appendSnapshot (state: TrainerState): void {
    const { organisation, trainer } = state
    for (const record of createTrainerSnapshot(state, this._table.nextOffset)) {
      this._hub.appendEventually('steps', record)
    }
    const planned = this._renewals.get(`${organisation}/${trainer}`)
    if (planned !== undefined) {
      // The hub may hold the records back during a log outage; this avoids queueing a second snapshot meanwhile.
      planned.dueAtMs = Date.now() + this._settings.retentionMs / 12
    }
    this._metrics.count('training_carries')
    this._logger.info({ organisation, trainer, groups: state.groups.size }, 'trainer_state_carried')
  }

  private _respondToSnapshotRequest (offset: number): void {
    for (const { state, snapshotOffset } of this._table.all()) {
      if (snapshotOffset < offset) this._appendSnapshot(state)
    }
  }

  private _requestSnapshotsAfterGap (): void {
    if (!this._table.hasGap) return
    const gapWaitNumber = ++this._gapWaitNumber
    const record = { type: 'want', id: crypto.randomUUID(), entry: this._settings.id }
    this._hub.append('steps', record, SNAPSHOT_REQUEST_TIMEOUT_MS).match(
      () => this._schedule(SNAPSHOT_WAIT_MS, () => this._endGapWait(gapWaitNumber)),
      () => this._schedule(SNAPSHOT_REQUEST_TIMEOUT_MS, () => {
        if (gapWaitNumber === this._gapWaitNumber) this._requestSnapshotsAfterGap()
      })
    )
  }

  private _endGapWait (gapWaitNumber: number): void {
    // A later gap has started another wait.
    if (gapWaitNumber !== this._gapWaitNumber || !this._table.hasGap) return
    this._table.declareComplete()
    this._logger.warn({ stream: 'steps' }, 'retention_gap_closed')
  }

  private _schedule (delayMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this._timers.delete(timer)
      action()
    }, delayMs)
    this._timers.add(timer)
  }
}

import { Disposable } from '../../kernel/Disposable.js'
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

const CHECK_MAX_MS = 60_000
const CHECKS_PER_RETENTION = 100
const WANT_TIMEOUT_MS = 5000
// Spreads the carries of the entries so that most of them see another entry's carry first.
const WANT_JITTER_MS = 1500
// Longer than the jitter plus one append; afterwards no other entry has the state.
const WANT_WAIT_MS = 10_000

/** Carries every trainer's state at 0.7 to 0.95 of a third of retention, and on request of other entries. */
export class TrainerSnapshotRenewer extends Disposable implements ITrainerSnapshotRenewer {
  private readonly _jitter = new Map<string, { neededSinceMs: number, dueAtMs: number }>()
  private readonly _timers = new Set<ReturnType<typeof setTimeout>>()
  private _gapRun = 0

  constructor (
    @stepTableId private readonly _table: IStepTable,
    @logHubId private readonly _hub: ILogHub,
    @entrySettingsId private readonly _settings: EntrySettings,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    this._register(toDisposable(() => {
      this._gapRun++
      for (const timer of this._timers) clearTimeout(timer)
    }))
  }

  start (): void {
    const checkMs = Math.min(CHECK_MAX_MS, Math.max(1, this._settings.retentionMs / CHECKS_PER_RETENTION))
    const timer = setInterval(() => this._check(), checkMs)
    this._register(toDisposable(() => clearInterval(timer)))
    this._register(this._table.onSnapshotRequest((offset) => {
      this._after(Math.random() * WANT_JITTER_MS, () => this._answerWant(offset))
    }))
    this._register(this._hub.onCaughtUp((stream) => {
      if (stream === 'steps') this._restoreAfterGap()
    }))
    if (this._hub.status('steps').isCaughtUp) this._restoreAfterGap()
  }

  private _check (): void {
    for (const { state, neededSinceMs } of this._table.all()) {
      if (Date.now() >= this._dueAtMs(`${state.organisation}/${state.trainer}`, neededSinceMs)) {
        this._carry(state)
      }
    }
  }

  private _dueAtMs (key: string, neededSinceMs: number): number {
    const known = this._jitter.get(key)
    if (known?.neededSinceMs === neededSinceMs) return known.dueAtMs
    const dueAtMs = neededSinceMs + (this._settings.retentionMs / 3) * (0.7 + Math.random() * 0.25)
    this._jitter.set(key, { neededSinceMs, dueAtMs })
    return dueAtMs
  }

  private _carry (state: TrainerState): void {
    const { organisation, trainer } = state
    for (const record of createTrainerSnapshot(state, this._table.nextOffset)) {
      this._hub.appendEventually('steps', record)
    }
    const jitter = this._jitter.get(`${organisation}/${trainer}`)
    if (jitter !== undefined) {
      // The carry may wait in the hub during an outage; it is not queued a second time meanwhile.
      jitter.dueAtMs = Date.now() + this._settings.retentionMs / 12
    }
    this._metrics.count('training_carries')
    this._logger.info({ organisation, trainer, groups: state.groups.size }, 'trainer_state_carried')
  }

  private _answerWant (offset: number): void {
    for (const { state, snapshotOffset: carriedAsOf } of this._table.all()) {
      if (carriedAsOf < offset) this._carry(state)
    }
  }

  private _restoreAfterGap (): void {
    if (!this._table.hasGap) return
    const run = ++this._gapRun
    const record = { type: 'want', id: crypto.randomUUID(), entry: this._settings.id }
    this._hub.append('steps', record, WANT_TIMEOUT_MS).match(
      () => this._after(WANT_WAIT_MS, () => this._declare(run)),
      () => this._after(WANT_TIMEOUT_MS, () => {
        if (run === this._gapRun) this._restoreAfterGap()
      })
    )
  }

  private _declare (run: number): void {
    // A later gap started another wait.
    if (run !== this._gapRun || !this._table.hasGap) return
    this._table.declareComplete()
    this._logger.warn({ stream: 'steps' }, 'retention_gap_closed')
  }

  private _after (delayMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this._timers.delete(timer)
      action()
    }, delayMs)
    this._timers.add(timer)
  }
}

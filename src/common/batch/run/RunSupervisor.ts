import type { ILogger } from '../../metrics/ILogger.js'
import { chooseEngine } from '../policy/chooseEngine.js'
import type { EngineLinks } from '../link/EngineLinks.js'
import type { EngineTracker } from './EngineTracker.js'
import type { ItemRun } from './ItemRun.js'
import type { ItemState } from '../record/ItemState.js'
import type { LengthEstimator } from '../policy/LengthEstimator.js'
import { shouldMove } from '../policy/shouldMove.js'

/** A run without events is cancelled after this many event intervals of its engine. */
const STALL_INTERVALS = 14
const MIN_STALL_MS = 700
const MAX_STALL_MS = 2000
const MIN_RUN_BEFORE_MOVE_MS = 500

/** Cancels runs that have stalled, and moves runs that would complete sooner at another engine. */
export class RunSupervisor {
  constructor (private readonly _tracker: EngineTracker, private readonly _estimator: LengthEstimator, private readonly _links: EngineLinks, private readonly _logger: ILogger) {}

  /** Checks all runs. Runs with the most remaining events may move first, because fast engines have few free slots. */
  check (runs: ReadonlyMap<ItemState, ItemRun>): void {
    const candidates: Array<{ run: ItemRun, remainingEvents: number }> = []
    for (const run of runs.values()) {
      if (run.isCancelled || this._cancelIfStalled(run)) continue
      if (run.durationMs >= MIN_RUN_BEFORE_MOVE_MS && run.isMovable) candidates.push({ run, remainingEvents: this._estimator.remainingEvents(run.state) })
    }
    candidates.sort((a, b) => b.remainingEvents - a.remainingEvents)
    const reservedSlots = new Map<string, number>()
    for (const { run, remainingEvents } of candidates) this._moveIfFasterElsewhere(run, remainingEvents, reservedSlots, runs)
  }

  private _cancelIfStalled (run: ItemRun): boolean {
    const stallMs = Math.min(MAX_STALL_MS, Math.max(MIN_STALL_MS, STALL_INTERVALS * (run.engine.averageMs ?? 0)))
    // An engine pauses its runs while it loads a version.
    if (run.silentMs() <= stallMs || this._tracker.isLoading(run.engine.member.id, run.batch.spec.model)) return false
    if (!run.isLinkSuspect) run.engine.recordFailure()
    run.cancelSilent()
    return true
  }

  private _moveIfFasterElsewhere (run: ItemRun, remainingEvents: number, reservedSlots: Map<string, number>, runs: ReadonlyMap<ItemState, ItemRun>): void {
    const eventIntervalMs = run.engine.averageMs
    if (eventIntervalMs === undefined) return
    const expectedPauseMs = this._tracker.expectedPauseMs(run.engine.member.id, run.batch.spec.model)
    const kvTokens = this._tracker.estimateKvTokens(run.service, run.state, this._estimator)
    const { bodyBytes } = run.state
    const engines = this._links.reachable(this._tracker.views(run.service, run.batch.spec.model, runs.values(), this._estimator), bodyBytes)
      // An engine out of KV cache preempts its newest run first, so a move must not fill the cache.
      .filter(engine => engine.id !== run.engine.member.id && engine.freeSlots > (reservedSlots.get(engine.id) ?? 0) && engine.kvFreeTokens >= kvTokens)
    const target = chooseEngine(engines, { minVersion: run.batch.spec.minVersion, kvTokens, deprioritised: new Set(), withCachedPrefix: new Set() })
    if (target === undefined || !this._links.admits(bodyBytes)) return
    const sendMs = this._links.sendMs(target.id, bodyBytes)
    if (!shouldMove({ eventIntervalMs, targetEventIntervalMs: target.eventIntervalMs, remainingEvents, expectedPauseMs, sendMs })) return
    reservedSlots.set(target.id, (reservedSlots.get(target.id) ?? 0) + 1)
    this._logger.info({ batch: run.batch.spec.id, item: run.state.item.id, from: run.engine.member.id, to: target.id, pace_ms: Math.round(eventIntervalMs), target_pace_ms: Math.round(target.eventIntervalMs), remaining_events: Math.round(remainingEvents), pause_ms: Math.round(expectedPauseMs) }, 'item_moved')
    run.cancel('slow')
  }
}

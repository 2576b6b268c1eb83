import type { ILogger } from '../../metrics/ILogger.js'
import { chooseEngine } from '../policy/chooseEngine.js'
import type { EngineTracker } from './EngineTracker.js'
import type { ItemRun } from './ItemRun.js'
import type { ItemState } from '../record/ItemState.js'
import type { LengthEstimator } from '../policy/LengthEstimator.js'
import { shouldMove } from '../policy/shouldMove.js'

/** A silent stream is given up after this many usual pauses between events. */
const STALL_PACES = 14
const MIN_STALL_MS = 700
const MAX_STALL_MS = 2000
const MIN_RUN_BEFORE_MOVE_MS = 500

/** Ends runs that have gone silent, and moves those that end sooner elsewhere. */
export class RunSupervisor {
  constructor (private readonly _board: EngineTracker, private readonly _estimator: LengthEstimator, private readonly _logger: ILogger) {}

  /** Checks all runs; those with most left come first, because free slots of fast engines are few. */
  check (runs: ReadonlyMap<ItemState, ItemRun>): void {
    const candidates: Array<{ run: ItemRun, remaining: number }> = []
    for (const run of runs.values()) {
      if (run.isCancelled || this._endSilent(run)) continue
      if (run.durationMs >= MIN_RUN_BEFORE_MOVE_MS && run.isMovable) candidates.push({ run, remaining: this._estimator.remainingEvents(run.state) })
    }
    candidates.sort((a, b) => b.remaining - a.remaining)
    const taken = new Map<string, number>()
    for (const { run, remaining } of candidates) this._moveIfSlow(run, remaining, taken, runs)
  }

  private _endSilent (run: ItemRun): boolean {
    const limitMs = Math.min(MAX_STALL_MS, Math.max(MIN_STALL_MS, STALL_PACES * (run.engine.averageMs ?? 0)))
    // An engine that loads a version pauses its runs.
    if (run.sinceLastEventMs() <= limitMs || this._board.isLoading(run.engine.member.id, run.batch.spec.model)) return false
    run.engine.recordFailure()
    run.cancel('silent')
    return true
  }

  private _moveIfSlow (run: ItemRun, remainingEvents: number, taken: Map<string, number>, runs: ReadonlyMap<ItemState, ItemRun>): void {
    const paceMs = run.engine.averageMs
    if (paceMs === undefined) return
    const pauseMs = this._board.expectedPauseMs(run.engine.member.id, run.batch.spec.model)
    const kvTokens = this._board.estimateKvTokens(run.service, run.state, this._estimator)
    const engines = this._board.views(run.service, run.batch.spec.model, runs.values(), this._estimator)
      // The newest run of an engine is the first that it puts back, so a move must not fill its memory.
      .filter(engine => engine.id !== run.engine.member.id && engine.freeSlots > (taken.get(engine.id) ?? 0) && engine.kvFreeTokens >= kvTokens)
    const target = chooseEngine(engines, { minVersion: run.batch.spec.minVersion, kvTokens, deprioritised: new Set(), withCachedPrefix: new Set() })
    if (target === undefined || !shouldMove({ eventIntervalMs: paceMs, targetEventIntervalMs: target.eventIntervalMs, remainingEvents, expectedPauseMs: pauseMs })) return
    taken.set(target.id, (taken.get(target.id) ?? 0) + 1)
    this._logger.info({ batch: run.batch.spec.id, item: run.state.item.id, from: run.engine.member.id, to: target.id, pace_ms: Math.round(paceMs), target_pace_ms: Math.round(target.eventIntervalMs), remaining_events: Math.round(remainingEvents), pause_ms: Math.round(pauseMs) }, 'item_moved')
    run.cancel('slow')
  }
}

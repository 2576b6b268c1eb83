import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { Batch } from './Batch.js'
import { forecastStep } from './policy/forecastStep.js'
import { isYielding } from './policy/isYielding.js'
import type { LengthEstimator } from './policy/LengthEstimator.js'
import type { StepView } from './policy/StepView.js'
import type { EngineView } from './run/EngineView.js'

const INTERVAL_MS = 1000

/** Logs each open step once a second, and once when it misses its deadline. */
export class StepReporter {
  /** In terms of `performance.now()`. */
  private _reportedAtMs = Number.NEGATIVE_INFINITY
  private readonly _late = new WeakSet<Batch>()

  constructor (private readonly _estimator: LengthEstimator, private readonly _logger: ILogger, private readonly _metrics: IMetrics) {}

  /** `nowMs` is in Unix milliseconds, as the deadlines are. */
  reportIfDue (steps: ReadonlyArray<StepView & { engines: readonly EngineView[] }>, nowMs: number): void {
    if (performance.now() - this._reportedAtMs < INTERVAL_MS) return
    this._reportedAtMs = performance.now()
    let waiting = 0
    let yielding = 0
    for (const step of steps) {
      const fields = this._describe(step, nowMs)
      waiting += fields.waiting
      yielding += Number(fields.yielding)
      this._logger.info(fields, 'batch_step_status')
      if (nowMs > step.deadlineAtMs && !this._late.has(step.batch)) {
        this._late.add(step.batch)
        this._metrics.count('batch_steps_late')
        this._logger.warn(fields, 'batch_step_late')
      }
    }
    this._metrics.gauge('batch_items_waiting', waiting)
    this._metrics.gauge('batch_steps_yielding', yielding)
  }

  private _describe (step: StepView & { engines: readonly EngineView[] }, nowMs: number) {
    const { waiting, running, remainingEvents, usableSlots, expectedMs } = forecastStep(step, step.engines, this._estimator)
    const { id, model, step: number, groupsWanted } = step.batch.spec
    return {
      batch: id,
      model,
      step: number,
      priority: step.priority,
      waiting,
      running,
      incomplete_groups: step.batch.incompleteGroups().length,
      groups_wanted: groupsWanted,
      remaining_events: Math.round(remainingEvents),
      usable_slots: usableSlots,
      expected_ms: expectedMs === undefined ? undefined : Math.round(expectedMs),
      due_in_ms: Math.round(step.deadlineAtMs - nowMs),
      yielding: isYielding(step, nowMs)
    }
  }
}

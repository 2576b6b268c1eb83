import type { EngineView } from '../run/EngineView.js'
import type { LengthEstimator } from './LengthEstimator.js'
import { rankGroups } from './rankGroups.js'
import type { StepView } from './StepView.js'

/** How far a step is, and when the groups that its trainer waits for are expected to be complete. */
interface StepForecast { waiting: number, running: number, remainingEvents: number, usableSlots: number, expectedMs: number | undefined }

/**
 * Forecasts a step from its needed groups: they take as long as their longest item at the mean speed of the engines
 * with an accepted version, or as all of them together at all slots of these engines; undefined without such an engine.
 */
export function forecastStep ({ batch }: StepView, engines: readonly EngineView[], estimator: LengthEstimator): StepForecast {
  const usable = engines.filter(({ version, isExcluded }) => version >= batch.spec.minVersion && !isExcluded)
  const slots = usable.reduce((sum, { freeSlots, running }) => sum + freeSlots + running, 0)
  const needed = rankGroups(batch, estimator).slice(0, batch.spec.groupsWanted)
  const remainingEvents = needed.reduce((sum, { totalRemainingEvents }) => sum + totalRemainingEvents, 0)
  const longest = Math.max(0, ...needed.map(({ maxRemainingEvents }) => maxRemainingEvents))
  const intervalMs = usable.reduce((sum, { eventIntervalMs }) => sum + eventIntervalMs, 0) / usable.length
  return {
    waiting: batch.items.filter(({ status }) => status === 'waiting').length,
    running: batch.items.filter(({ status }) => status === 'running').length,
    remainingEvents,
    usableSlots: slots,
    expectedMs: slots === 0 ? undefined : intervalMs * Math.max(longest, remainingEvents / slots)
  }
}

import fc from 'fast-check'
import type { PlannedFault } from './PlannedFault.js'

/** Mean time between the starts of two series. */
const MEAN_INTERVAL_MS = 4_000
/** Makes the draws differ from those of `planFaults` with the same seed. */
const SEED_OFFSET = 0x5e71e5
const STEP_COUNT = { min: 2, max: 5 }
const STEP_INTERVAL_MS = { min: 50, max: 1_500 }
const ACTIVE_MS = { min: 100, max: 1_500 }
const KINDS = ['entry_kill', 'entry_stop', 'entry_pause', 'entry_hup', 'entry_clock_ahead', 'entry_clock_back'] as const

/** Draws series of faults (signals and clock changes) that follow each other quickly at one entry, so that they overlap. */
export function planSeries (seed: number, durationMs: number, entries: string[]): PlannedFault[] {
  const stepArbitrary = fc.record({ kind: fc.constantFrom(...KINDS), intervalMs: fc.integer(STEP_INTERVAL_MS), activeMs: fc.integer(ACTIVE_MS) })
  const seriesArbitrary = fc.noBias(fc.record({
    atMs: fc.nat(durationMs),
    target: fc.constantFrom(...entries),
    steps: fc.array(stepArbitrary, { minLength: STEP_COUNT.min, maxLength: STEP_COUNT.max })
  }))
  const count = Math.max(1, Math.round(durationMs / MEAN_INTERVAL_MS))
  return fc.sample(seriesArbitrary, { seed: seed ^ SEED_OFFSET, numRuns: count }).flatMap(({ atMs, target, steps }) => {
    let stepAtMs = atMs
    return steps.map(({ kind, intervalMs, activeMs }): PlannedFault => {
      const fault = { atMs: stepAtMs, activeMs, kind, target }
      stepAtMs += intervalMs
      return fault
    })
  }).sort((a, b) => a.atMs - b.atMs)
}

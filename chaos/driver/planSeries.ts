import fc from 'fast-check'
import type { PlannedFault } from './PlannedFault.js'

/** Time between the starts of two series. */
const MEAN_GAP_MS = 4_000
/** So that the draws differ from those of the single faults. */
const SEED_OFFSET = 0x5e71e5
const STEPS = { min: 2, max: 5 }
const STEP_GAP = { min: 50, max: 1_500 }
const HOLD = { min: 100, max: 1_500 }
const KINDS = ['entry_kill', 'entry_stop', 'entry_pause', 'entry_hup', 'entry_clock_ahead', 'entry_clock_back'] as const

/** Draws series of signals and clock changes that hit one entry in quick succession and overlap. */
export function planSeries (seed: number, durationMs: number, entries: string[]): PlannedFault[] {
  const step = fc.record({ kind: fc.constantFrom(...KINDS), gapMs: fc.integer(STEP_GAP), holdMs: fc.integer(HOLD) })
  const series = fc.noBias(fc.record({
    atMs: fc.nat(durationMs),
    target: fc.constantFrom(...entries),
    steps: fc.array(step, { minLength: STEPS.min, maxLength: STEPS.max })
  }))
  const count = Math.max(1, Math.round(durationMs / MEAN_GAP_MS))
  return fc.sample(series, { seed: seed ^ SEED_OFFSET, numRuns: count }).flatMap(({ atMs, target, steps }) => {
    let stepAtMs = atMs
    return steps.map(({ kind, gapMs, holdMs }): PlannedFault => {
      const fault = { atMs: stepAtMs, holdMs, kind, target }
      stepAtMs += gapMs
      return fault
    })
  }).sort((a, b) => a.atMs - b.atMs)
}

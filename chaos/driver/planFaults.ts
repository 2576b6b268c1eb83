import fc from 'fast-check'
import type { FaultKind } from './FaultKind.js'
import { faultKinds } from './faultKinds.js'
import type { PlannedFault } from './PlannedFault.js'

const MEAN_INTERVAL_MS = 500
// Longer than the lease and the heartbeat time-out of the harness, which are both 3 s.
const ENTRY_PAUSE_MS = 4500
const ACTIVE_MS = { min: 300, max: 3000 }
// A mark must last longer than `tolerances.leavingPropagationMs`, so that the checker can detect late work.
const LEAVING_MS = 11_000

/**
 * Draws the faults of a run from the seed. Each kind occurs once per round. Faults may overlap, and some are repeated
 * at the same target shortly afterwards.
 */
export function planFaults (seed: number, durationMs: number): PlannedFault[] {
  // A drain of about one second rarely coincides with a call that it could cut, so stops are drawn more often.
  const kinds: FaultKind[] = [...listSingleKinds(), 'entry_stop', 'entry_stop', 'entry_stop']
  const count = Math.max(1, Math.round(durationMs / MEAN_INTERVAL_MS))
  const rounds = Math.ceil(count / kinds.length)
  const order = fc.sample(fc.shuffledSubarray(kinds, { minLength: kinds.length }), { seed, numRuns: rounds }).flat()
  const faultArbitrary = fc.noBias(fc.record({
    atMs: fc.nat(durationMs),
    drawnMs: fc.integer(ACTIVE_MS),
    target: fc.nat(1000),
    isRepeated: fc.nat(4).map(value => value === 0),
    repeatAfterMs: fc.integer({ min: 200, max: 2000 })
  }))
  return fc.sample(faultArbitrary, { seed, numRuns: count }).flatMap(({ atMs, drawnMs, target, isRepeated, repeatAfterMs }, index) => {
    const kind = order[index]!
    const { targets } = faultKinds[kind]
    const activeMs = activeTimeOf(kind, drawnMs)
    // Long faults begin early, so that they do not prolong the run.
    const fault = { atMs: Math.min(atMs, Math.max(0, durationMs - activeMs)), activeMs, kind, target: targets[target % targets.length]! }
    return isRepeated ? [fault, { ...fault, atMs: atMs + repeatAfterMs }] : [fault]
  }).sort((a, b) => a.atMs - b.atMs)
}

function activeTimeOf (kind: FaultKind, drawnMs: number): number {
  if (kind === 'entry_pause') return ENTRY_PAUSE_MS
  return kind === 'upstream_leaving' ? LEAVING_MS : drawnMs
}

function listSingleKinds (): FaultKind[] {
  return (Object.keys(faultKinds) as FaultKind[]).filter(kind => !('isSeriesOnly' in faultKinds[kind]))
}

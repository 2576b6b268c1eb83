import fc from 'fast-check'
import type { FaultKind } from './FaultKind.js'
import { faultKinds } from './faultKinds.js'
import type { PlannedFault } from './PlannedFault.js'

const MEAN_GAP_MS = 500
// Longer than the lease and the heartbeat time-out of the harness, which are 3 s.
const PAUSE_MS = 4500
const HOLD = { min: 300, max: 3000 }
// A mark must stay longer than the window of its rule for late work to show.
const LEAVING_MS = 11_000

/** Draws the faults of a run from the seed: every kind once in each round, some at once, some twice. */
export function planFaults (seed: number, durationMs: number): PlannedFault[] {
  // A drain of about a second seldom meets a call that would be cut, so that stops come more often.
  const kinds: FaultKind[] = [...singleKinds(), 'entry_stop', 'entry_stop', 'entry_stop']
  const count = Math.max(1, Math.round(durationMs / MEAN_GAP_MS))
  const rounds = Math.ceil(count / kinds.length)
  const order = fc.sample(fc.shuffledSubarray(kinds, { minLength: kinds.length }), { seed, numRuns: rounds }).flat()
  const draw = fc.noBias(fc.record({
    atMs: fc.nat(durationMs),
    holdMs: fc.integer(HOLD),
    target: fc.nat(1000),
    isDouble: fc.nat(4).map(value => value === 0),
    followsMs: fc.integer({ min: 200, max: 2000 })
  }))
  return fc.sample(draw, { seed, numRuns: count }).flatMap(({ atMs, holdMs, target, isDouble, followsMs }, index) => {
    const kind = order[index]!
    const { targets } = faultKinds[kind]
    const heldMs = holdOf(kind, holdMs)
    // Long faults begin early, so that they do not prolong the run.
    const fault = { atMs: Math.min(atMs, Math.max(0, durationMs - heldMs)), holdMs: heldMs, kind, target: targets[target % targets.length]! }
    return isDouble ? [fault, { ...fault, atMs: atMs + followsMs }] : [fault]
  }).sort((a, b) => a.atMs - b.atMs)
}

function holdOf (kind: FaultKind, drawnMs: number): number {
  if (kind === 'entry_pause') return PAUSE_MS
  return kind === 'upstream_leaving' ? LEAVING_MS : drawnMs
}

function singleKinds (): FaultKind[] {
  return (Object.keys(faultKinds) as FaultKind[]).filter(kind => !('isSeriesOnly' in faultKinds[kind]))
}

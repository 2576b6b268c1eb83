import fc from 'fast-check'
import type { PlannedWork } from './PlannedWork.js'

const WORK_PER_S = 40
const KINDS = ['lookup', 'lookup', 'ticket', 'stream'] as const

/** Draws the workload of a run from the seed. Each poison request crashes the engines that run it. */
export function planWork (seed: number, durationMs: number, poisonCount: number): PlannedWork[] {
  const workArbitrary = fc.noBias(fc.record({
    kind: fc.constantFrom(...KINDS),
    organisation: fc.constantFrom('lin-shun' as const, 'almaskert' as const),
    atMs: fc.nat(durationMs),
    entryChoice: fc.nat(1000),
    repeatEntryChoice: fc.nat(1000),
    repeatAfterMs: fc.nat(400),
    isAbandoned: fc.nat(4).map(value => value === 0),
    tokens: fc.integer({ min: 1, max: 400 })
  }))
  return fc.sample(workArbitrary, { seed, numRuns: Math.ceil(durationMs / 1000 * WORK_PER_S) })
    .map((work, index): PlannedWork => index < poisonCount ? { ...work, kind: 'poison', isAbandoned: false } : work)
    .sort((a, b) => a.atMs - b.atMs)
}

import fc from 'fast-check'
import type { WorkItem } from './WorkItem.js'

const ITEMS_PER_S = 40
const KINDS = ['lookup', 'lookup', 'ticket', 'stream'] as const

/** Draws the calls of a run from the seed. Each poison request crashes the engines that run it. */
export function planWork (seed: number, durationMs: number, poisonCount: number): WorkItem[] {
  const item = fc.noBias(fc.record({
    kind: fc.constantFrom(...KINDS),
    organisation: fc.constantFrom('lin-shun' as const, 'almaskert' as const),
    atMs: fc.nat(durationMs),
    via: fc.nat(1000),
    via2: fc.nat(1000),
    repeatAfterMs: fc.nat(400),
    isAbandoned: fc.nat(4).map(value => value === 0),
    tokens: fc.integer({ min: 1, max: 400 })
  }))
  return fc.sample(item, { seed, numRuns: Math.ceil(durationMs / 1000 * ITEMS_PER_S) })
    .map((work, index): WorkItem => index < poisonCount ? { ...work, kind: 'poison', isAbandoned: false } : work)
    .sort((a, b) => a.atMs - b.atMs)
}

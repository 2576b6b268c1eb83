import fc from 'fast-check'
import type { WorkItem } from './WorkItem.js'

const ITEMS_PER_S = 40
// Each poison request may stop up to three engines, which take time to start again.
const KINDS = [
  ...Array<'lookup'>(60).fill('lookup'), ...Array<'ticket'>(30).fill('ticket'), ...Array<'stream'>(30).fill('stream'), 'poison' as const
]

/** Draws the calls of a run from the seed. */
export function planWork (seed: number, durationMs: number): WorkItem[] {
  const item: fc.Arbitrary<WorkItem> = fc.noBias(fc.record({
    kind: fc.constantFrom(...KINDS),
    customer: fc.constantFrom('lin-shun' as const, 'almaskert' as const),
    atMs: fc.nat(durationMs),
    via: fc.nat(1000),
    via2: fc.nat(1000),
    repeatAfterMs: fc.nat(400),
    isAbandoned: fc.nat(4).map(value => value === 0),
    tokens: fc.integer({ min: 1, max: 120 })
  }))
  return fc.sample(item, { seed, numRuns: Math.ceil(durationMs / 1000 * ITEMS_PER_S) }).sort((a, b) => a.atMs - b.atMs)
}

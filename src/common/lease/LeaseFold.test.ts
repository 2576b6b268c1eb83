import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { testServices } from '../log/test/testServices.js'
import { LeaseFold } from './LeaseFold.js'

const LEASE_MS = 100

function createFold () {
  const fold = new LeaseFold(LEASE_MS, () => {}, testServices().logger)
  const apply = (offset: number, timeMs: number, type: string, holder: string, fence = 0): void => {
    const value = { type, id: `${offset}`, name: 'n', holder, ...(type === 'lease' ? { lease_ms: LEASE_MS } : { fence }) }
    fold.apply({ offset, timeMs, value })
  }
  return { fold, apply }
}

interface Step { delayMs: number, actor: string, action: string }
interface Written { type: string, holder: string, fence: number }
type Visit = (full: LeaseFold, offset: number, timeMs: number, record: Written) => void

/** Writes what entries with complete knowledge may write, and one late renewal of each former holder. */
function replay (steps: Step[], visit: Visit): void {
  const { fold, apply } = createFold()
  let timeMs = 1000
  let former: { holder: string, fence: number } | undefined
  const choose = ({ action, actor }: Step): Written | undefined => {
    const held = fold.find('n')
    const ageMs = held === undefined ? LEASE_MS : timeMs - held.renewedAtMs
    if (action === 'late' && former !== undefined) return { type: 'renew', ...former }
    if (action === 'renew' && held !== undefined && ageMs < LEASE_MS) return { type: 'renew', holder: held.holder, fence: held.fence }
    // Entries try to take only free leases, or race for them.
    return ageMs >= LEASE_MS || ageMs < 20 ? { type: 'lease', holder: actor, fence: 0 } : undefined
  }
  for (const [offset, step] of steps.entries()) {
    timeMs += step.delayMs
    const record = choose(step)
    if (record === undefined) continue
    if (step.action === 'late') former = undefined
    const before = fold.find('n')
    apply(offset, timeMs, record.type, record.holder, record.fence)
    if (before !== undefined && fold.find('n')?.fence !== before.fence) former = { holder: before.holder, fence: before.fence }
    visit(fold, offset, timeMs, record)
  }
}

function describeHolder (fold: LeaseFold): unknown {
  const held = fold.find('n')
  return held && [held.holder, held.fence]
}

describe('LeaseFold', () => {
  it('lets the first lease win and a later one only after it lapsed by record time', () => {
    const { fold, apply } = createFold()
    apply(0, 1000, 'lease', 'a')
    apply(1, 1099, 'lease', 'b')
    expect(fold.find('n')?.holder).toEqual('a')
    apply(2, 1100, 'lease', 'b')
    expect([fold.find('n')?.holder, fold.find('n')?.fence]).toEqual(['b', 2])
  })

  it('counts renewals and yields only with the holder and its fencing number', () => {
    const { fold, apply } = createFold()
    apply(0, 1000, 'lease', 'a')
    apply(1, 1090, 'renew', 'a', 7)
    apply(2, 1090, 'renew', 'b', 0)
    apply(3, 1090, 'yield', 'a', 7)
    expect(fold.find('n')?.renewedAtMs).toEqual(1000)
    apply(4, 1090, 'renew', 'a', 0)
    expect(fold.find('n')?.renewedAtMs).toEqual(1090)
    apply(5, 1091, 'yield', 'a', 0)
    expect(fold.find('n')).toEqual(undefined)
  })

  it('does not revive a lapsed lease', () => {
    const { fold, apply } = createFold()
    apply(0, 1000, 'lease', 'a')
    apply(1, 1100, 'renew', 'a', 0)
    expect(fold.find('n')?.renewedAtMs).toEqual(1000)
  })

  it('forgets holders at a gap and takes no decision until it has learnt them again', () => {
    const { fold, apply } = createFold()
    apply(0, 1000, 'lease', 'a')
    fold.onGap()
    expect([fold.find('n'), fold.knowsAllHolders()]).toEqual([undefined, false])
    apply(9, 2000, 'renew', 'b', 5)
    expect([fold.find('n')?.holder, fold.knowsAllHolders()]).toEqual(['b', false])
    apply(10, 2000 + LEASE_MS * 7, 'renew', 'x', 1)
    expect(fold.knowsAllHolders()).toEqual(true)
  })

  // An entry that lost the holder's lease record must not think that the lease is free.
  it('learns holders from renewals after a gap and then agrees with other entries', () => {
    const stepArbitrary = fc.record({
      delayMs: fc.integer({ min: 1, max: 60 }),
      actor: fc.constantFrom('a', 'b', 'c'),
      action: fc.constantFrom('renew', 'renew', 'renew', 'lease', 'late')
    })
    let compared = 0
    fc.assert(fc.property(fc.array(stepArbitrary, { minLength: 60, maxLength: 90 }), fc.nat(25), (steps, start) => {
      const late = createFold()
      let startMs = 0
      replay(steps, (full, offset, timeMs, record) => {
        if (startMs === 0 && offset >= start) {
          startMs = timeMs
          late.fold.onGap()
        }
        if (startMs === 0) return
        late.apply(offset, timeMs, record.type, record.holder, record.fence)
        if (timeMs - startMs < LEASE_MS * 7) return
        compared++
        expect(describeHolder(late.fold)).toEqual(describeHolder(full))
      })
    }), { numRuns: 1000, seed: 6 })
    expect(compared > 1000).toEqual(true)
  })
})

import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { testServices } from '../log/test/testServices.js'
import { ClaimFold } from './ClaimFold.js'

const WINDOW_MS = 100

interface Won { claimId: string, atMs: number }

function createFold (windowMs = WINDOW_MS, maxKeys?: number) {
  const won: Won[] = []
  let nowMs = 0
  const listener = { onWon: (_key: unknown, claim: { claimId: string }) => { won.push({ claimId: claim.claimId, atMs: nowMs }) }, onSettled () {} }
  const fold = new ClaimFold(() => windowMs, listener, testServices().logger, maxKeys)
  const apply = (offset: number, timeMs: number, value: object): void => {
    nowMs = timeMs
    fold.apply({ offset, timeMs, value })
  }
  return { fold, won, apply }
}

function claim (id: string, key = 'k'): object {
  return { type: 'claim', id, organisation: 'a', service: 's', key, body_sha256: 'x', entry: 'e', at_ms: 0 }
}

describe('ClaimFold', () => {
  // Entries apply a changed key window at different times. Guards against two entries that see different winners.
  it('has no two winners within the shorter of two windows', () => {
    fc.assert(fc.property(fc.array(fc.nat(150), { minLength: 2, maxLength: 30 }), fc.integer({ min: 1, max: 300 }), (delays, otherMs) => {
      const folds = [createFold(), createFold(otherMs)] as const
      let timeMs = 1000
      for (const [index, delay] of delays.entries()) {
        timeMs += delay
        for (const { apply } of folds) apply(index, timeMs, claim(`c${index}`))
      }
      const won = folds.flatMap(item => item.won).sort((a, b) => a.atMs - b.atMs)
      for (const [index, item] of won.entries()) {
        const next = won[index + 1]
        const areApart = next === undefined || next.claimId === item.claimId || next.atMs - item.atMs >= Math.min(WINDOW_MS, otherMs)
        expect(areApart).toEqual(true)
      }
    }), { numRuns: 1000, seed: 3 })
  })

  // An entry that starts late misses old claims, but appends its first own claim only after it has read a whole window.
  it('has the same winners as an entry that started later, once a window has passed', () => {
    const stepArbitrary = fc.tuple(fc.nat(150), fc.constantFrom('k', 'l'))
    fc.assert(fc.property(fc.array(stepArbitrary, { minLength: 2, maxLength: 40 }), fc.nat(20), (steps, start) => {
      const [complete, late] = [createFold(), createFold()]
      let timeMs = 1000
      let fromMs = 0
      for (const [index, [delay, key]] of steps.entries()) {
        timeMs += delay
        complete.apply(index, timeMs, claim(`c${index}`, key))
        if (index === start) {
          fromMs = timeMs + WINDOW_MS
          late.fold.onGap()
        }
        if (index >= start) late.apply(index, timeMs, claim(`c${index}`, key))
      }
      const recent = (won: Won[]): Won[] => won.filter(item => item.atMs >= fromMs)
      if (fromMs > 0) expect(recent(late.won)).toEqual(recent(complete.won))
    }), { numRuns: 1000, seed: 4 })
  })

  it('ignores results and releases of claims that do not hold the key, and malformed records', () => {
    const { fold, apply } = createFold()
    const base = { organisation: 'a', service: 's', key: 'k', claim_id: 'other' }
    const response = { status: 200, headers: {}, body_base64: '' }
    apply(0, 1, claim('c'))
    apply(1, 2, { type: 'release', id: 'r', ...base })
    apply(2, 3, { type: 'result', id: 'x', ...base, answer: response })
    apply(3, 4, { type: 'claim', id: 5 })
    expect([fold.find('a/s/k')?.claimId, fold.find('a/s/k')?.response]).toEqual(['c', undefined])
    // A release must not free a key whose call has run.
    apply(4, 5, { type: 'result', id: 'y', ...base, claim_id: 'c', answer: response })
    apply(5, 6, { type: 'release', id: 'z', ...base, claim_id: 'c' })
    expect(fold.find('a/s/k')?.claimId).toEqual('c')
  })

  it('removes all claims at a gap, because their releases and results may be lost', () => {
    const { fold, apply } = createFold()
    apply(0, 1, claim('c'))
    fold.onGap()
    expect(fold.find('a/s/k')).toEqual(undefined)
  })

  it('cannot decide within the window of a key that it evicted', () => {
    const { fold, apply } = createFold(WINDOW_MS, 2)
    for (const [index, key] of ['a', 'b', 'c'].entries()) apply(index, 10 + index, claim(`c${index}`, key))
    expect(fold.find('a/s/a')).toEqual(undefined)
    expect(fold.isDecidable(WINDOW_MS)).toEqual(false)
    apply(3, 10 + WINDOW_MS + 5, claim('c3', 'd'))
    expect(fold.isDecidable(WINDOW_MS)).toEqual(true)
  })
})

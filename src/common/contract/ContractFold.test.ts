import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { LogEntry } from '../log/LogEntry.js'
import { testServices } from '../log/test/testServices.js'
import { ContractFold } from './ContractFold.js'
import { contractText } from './test/contractText.js'

const { logger } = testServices()
const ORGANISATIONS = ['a', 'b']

function createFold (): ContractFold {
  return new ContractFold(60_000, logger)
}

function publish (organisation: string, base: number, share: number, digest?: string): object {
  const text = contractText(organisation, share, digest)
  return { type: 'publish', id: crypto.randomUUID(), organisation, base_revision: base, operator: 'mei', at_ms: 0, text }
}

function snapshotOf (fold: ContractFold, organisation: string, readOffset: number): object | undefined {
  const revisions = fold.state(organisation)?.revisions.map(({ revision, operator, atMs, text }) => ({ revision, operator, at_ms: atMs, text }))
  if (revisions === undefined) return undefined
  return { type: 'snapshot', id: crypto.randomUUID(), organisation, read_offset: readOffset, revisions }
}

function revisionsAndShares (fold: ContractFold): unknown[] {
  return ORGANISATIONS.map(organisation => {
    const state = fold.state(organisation)
    const newest = state?.revisions.at(-1)
    return [newest?.revision, newest?.contract.limits.share]
  })
}

interface Step { kind: string, organisation: string, lag: number }

/**
 * Builds a log of publishers and snapshot writers that lag `lag` records behind its end. Between the steps `before`
 * and `after`, an entry whose read position is `renewalPosition` appends a snapshot of each contract.
 */
function buildLog (before: Step[], renewalLag: number, after: Step[]): { entries: LogEntry[], renewalPosition: number } {
  const entries: LogEntry[] = []
  const foldAt = (position: number): ContractFold => {
    const fold = createFold()
    for (const entry of entries.slice(0, position)) fold.apply(entry)
    return fold
  }
  const append = (value: object | undefined): void => {
    if (value !== undefined) entries.push({ offset: entries.length, timeMs: entries.length, value })
  }
  const runStep = ({ kind, organisation, lag }: Step): void => {
    const position = Math.max(0, entries.length - lag)
    const fold = foldAt(position)
    if (kind === 'publish') append(publish(organisation, fold.state(organisation)?.revisions.at(-1)?.revision ?? 0, entries.length + 1))
    if (kind === 'snapshot') append(snapshotOf(fold, organisation, position))
    if (kind === 'malformed') append({ type: 'publish', id: 7 })
  }
  before.forEach(runStep)
  const renewalPosition = Math.max(0, entries.length - renewalLag)
  const renewed = foldAt(renewalPosition)
  for (const organisation of ORGANISATIONS) append(snapshotOf(renewed, organisation, renewalPosition))
  after.forEach(runStep)
  return { entries, renewalPosition }
}

const stepArbitrary = fc.record({
  kind: fc.constantFrom('publish', 'publish', 'publish', 'snapshot', 'malformed'),
  organisation: fc.constantFrom(...ORGANISATIONS),
  lag: fc.integer({ min: 0, max: 4 })
})
const stepsArbitrary = fc.array(stepArbitrary, { maxLength: 14 })

/** Collects the revisions of organisation `a` in the order in which they come into force. */
function recordRevisions (fold: ContractFold): number[] {
  const revisions: number[] = []
  fold.onChange(organisation => {
    if (organisation === 'a') revisions.push(fold.state('a')?.revisions.at(-1)?.revision ?? 0)
  })
  return revisions
}

describe('ContractFold', () => {
  // Guards against entries that enforce different contracts after losing different records to retention.
  it('reaches the same state whichever records were lost to retention, and never lowers a revision', () => {
    fc.assert(fc.property(
      stepsArbitrary, fc.nat(4), stepsArbitrary, fc.nat(14), fc.nat(14), (before, renewalLag, after, gapFrom, gapLength) => {
        const { entries, renewalPosition } = buildLog(before, renewalLag, after)
        const folds = [createFold(), createFold()] as const
        const [complete, gapped] = folds
        const revisions = folds.map(recordRevisions)
        const gapEnd = Math.min(gapFrom + gapLength, renewalPosition)
        for (const entry of entries) {
          complete.apply(entry)
          if (entry.offset >= gapFrom && entry.offset < gapEnd) continue
          if (entry.offset === gapEnd && gapEnd > gapFrom) gapped.onGap(gapEnd)
          gapped.apply(entry)
        }
        expect(revisionsAndShares(gapped)).toEqual(revisionsAndShares(complete))
        for (const seen of revisions) expect(seen).toEqual([...seen].sort((a, b) => a - b))
      }), { numRuns: 1000, seed: 11 })
  })

  it('accepts the first of two publishes on one base and reports a conflict for the other', () => {
    const fold = createFold()
    const [first, second] = [publish('a', 0, 1), publish('a', 0, 2)] as Array<{ id: string }>
    fold.apply({ offset: 0, timeMs: 1, value: first })
    fold.apply({ offset: 1, timeMs: 2, value: second })
    expect(fold.decision(first?.id ?? '')).toEqual({ kind: 'accepted', revision: 1 })
    expect(fold.decision(second?.id ?? '')).toEqual({ kind: 'conflict', currentRevision: 1 })
    expect(revisionsAndShares(fold)[0]).toEqual([1, 1])
  })

  it('ignores texts that do not parse or name another organisation', () => {
    const fold = createFold()
    fold.apply({ offset: 0, timeMs: 1, value: { ...publish('a', 0, 1), text: 'no contract' } })
    fold.apply({ offset: 1, timeMs: 2, value: { ...publish('a', 0, 1), text: contractText('b', 1) } })
    expect(fold.organisations()).toEqual([])
  })

  it('rejects the later publication when two organisations list the same token', () => {
    const fold = createFold()
    const digest = 'f'.repeat(64)
    const later = publish('b', 0, 1, digest) as { id: string }
    fold.apply({ offset: 0, timeMs: 1, value: publish('a', 0, 1, digest) })
    fold.apply({ offset: 1, timeMs: 2, value: later })
    expect(fold.organisations()).toEqual(['a'])
    expect(fold.decision(later.id)?.kind).toEqual('invalid')
  })

  it('marks states inexact after a gap until a snapshot taken after the gap', () => {
    const fold = createFold()
    fold.apply({ offset: 0, timeMs: 1, value: publish('a', 0, 1) })
    const old = snapshotOf(fold, 'a', 1) as object
    fold.onGap(5)
    fold.apply({ offset: 5, timeMs: 2, value: old })
    expect(fold.state('a')?.isExact).toEqual(false)
    fold.apply({ offset: 6, timeMs: 3, value: snapshotOf(fold, 'a', 6) })
    expect(fold.state('a')?.isExact).toEqual(true)
  })

  it('replays only publishes after the position of a snapshot', () => {
    const fold = createFold()
    fold.apply({ offset: 0, timeMs: 1, value: publish('a', 0, 1) })
    const renewal = snapshotOf(fold, 'a', 7) as object
    const gapped = createFold()
    gapped.onGap(5)
    for (const offset of [6, 7]) gapped.apply({ offset, timeMs: 2, value: publish('a', 1, offset) })
    gapped.apply({ offset: 8, timeMs: 3, value: renewal })
    expect(revisionsAndShares(gapped)[0]).toEqual([2, 7])
  })

  it('neither lowers nor renews a revision through a lower snapshot', () => {
    const fold = createFold()
    fold.apply({ offset: 0, timeMs: 1, value: publish('a', 0, 1) })
    const lower = snapshotOf(fold, 'a', 9)
    fold.apply({ offset: 1, timeMs: 2, value: publish('a', 1, 2) })
    fold.apply({ offset: 2, timeMs: 3, value: lower })
    expect([revisionsAndShares(fold)[0], fold.state('a')?.lastRecordAtMs]).toEqual([[2, 2], 2])
    fold.onGap(3)
    fold.apply({ offset: 3, timeMs: 4, value: lower })
    expect([revisionsAndShares(fold)[0], fold.state('a')?.lastRecordAtMs]).toEqual([[2, 2], 2])
  })

  it('bounds the history', () => {
    const fold = createFold()
    for (let base = 0; base < 30; base++) fold.apply({ offset: base, timeMs: base, value: publish('a', base, base + 1) })
    expect(fold.state('a')?.revisions.map(item => item.revision)).toEqual(Array.from({ length: 20 }, (_, index) => index + 11))
  })
})

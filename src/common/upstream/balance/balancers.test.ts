import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { createBalancer } from './createBalancer.js'
import { estimateOutstanding } from './estimateOutstanding.js'
import type { IBalancer } from './IBalancer.js'
import { ServiceTimes } from '../ServiceTimes.js'
import type { Upstream } from '../Upstream.js'
import { TrackedUpstream } from '../TrackedUpstream.js'

const hasher = { hash64: (text: string) => BigInt([...text].reduce((sum, char) => Math.imul(sum, 31) + char.charCodeAt(0) | 0, 7) >>> 0) }
const query = { size: 'short' as const, units: 1 }

/** Park-Miller generator: the same sequence in each run. */
function seeded (): () => number {
  let state = 42
  return () => {
    state = state * 48_271 % 2_147_483_647
    return state / 2_147_483_647
  }
}

function upstream (id: string, unitMs: number): TrackedUpstream {
  const record = new TrackedUpstream({
    id, role: 'upstream', service: 's', address: '', failure_domain: 'f', state: 'live', incarnation: '1'
  })
  for (let sample = 0; sample < 20; sample++) {
    record.times.record('short', unitMs, performance.now(), performance.now())
  }
  return record
}

function begin (record: TrackedUpstream): void {
  record.inFlight.add({ size: 'short', units: 1, fingerprint: 'f', startedAtMs: performance.now() })
  record.outstanding = record.inFlight.size
}

function shares (balancer: IBalancer, candidates: Upstream[], prefixHash?: string): Record<string, number> {
  const counts: Record<string, number> = {}
  for (let pick = 0; pick < 200; pick++) {
    const { id } = balancer.pick(candidates, { ...query, prefixHash })
    counts[id] = (counts[id] ?? 0) + 1
  }
  return counts
}

describe('balancers', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['Date'], now: 100_000 })
    mock.method(performance, 'now', () => Date.now())
  })

  afterEach(() => {
    mock.timers.reset()
    mock.restoreAll()
  })

  it('random and round-robin use all candidates, round-robin evenly', () => {
    const candidates = ['a', 'b', 'c', 'd'].map((id) => upstream(id, 10))
    expect(Object.keys(shares(createBalancer('random', seeded(), hasher), candidates)).length).toEqual(4)
    expect(shares(createBalancer('round-robin', seeded(), hasher), candidates)).toEqual({ a: 50, b: 50, c: 50, d: 50 })
  })

  it('least-outstanding avoids the upstream that holds more requests', () => {
    const candidates = ['a', 'b', 'c'].map((id) => upstream(id, 10))
    begin(candidates[0]!)
    const counts = shares(createBalancer('least-outstanding', seeded(), hasher), candidates)
    expect(Object.keys(counts).sort()).toEqual(['b', 'c'])
  })

  it('expected-wait prefers the faster upstream until its load outweighs the speed', () => {
    const [fast, slow] = [upstream('fast', 10), upstream('slow', 20)]
    const balancer = createBalancer('expected-wait', seeded(), hasher)
    expect(shares(balancer, [fast, slow])).toEqual({ fast: 200 })
    for (let request = 0; request < 12; request++) begin(fast)
    expect(shares(balancer, [fast, slow])).toEqual({ slow: 200 })
  })

  it('expected-wait leaves a stalled upstream before any of its requests completes', () => {
    const [stalled, other] = [upstream('stalled', 10), upstream('other', 12)]
    const balancer = createBalancer('expected-wait', seeded(), hasher)
    begin(stalled)
    begin(other)
    mock.timers.tick(100)
    // The other upstream completes a later request: its old one is long itself and is no sign of a stall.
    other.times.record('short', 12, performance.now() - 12, performance.now())
    expect(shares(balancer, [stalled, other])).toEqual({ other: 200 })
  })

  it('expected-wait sends short work where no long work runs, although more requests run there', () => {
    const [busy, long] = [upstream('busy', 10), upstream('long', 10)]
    begin(busy)
    begin(busy)
    long.times.record('long', 500, performance.now(), performance.now())
    long.inFlight.add({ size: 'long', units: 1, fingerprint: 'f', startedAtMs: performance.now() })
    long.outstanding = 1
    long.outstandingLong = 1
    expect(shares(createBalancer('expected-wait', seeded(), hasher), [busy, long])).toEqual({ busy: 200 })
  })

  it('expected-wait tries a slow upstream again after it was idle', () => {
    const times = new ServiceTimes()
    const record = (unitMs: number): void => {
      for (let sample = 0; sample < 20; sample++) times.record('short', unitMs, performance.now(), performance.now())
    }
    record(10)
    record(100)
    expect(times.estimate('short', performance.now(), [])! > 80).toEqual(true)
    mock.timers.tick(30_000)
    expect(times.estimate('short', performance.now(), [])! < 11).toEqual(true)
  })

  it('one outlier does not move the estimate by more than a bounded factor', () => {
    const record = upstream('a', 10)
    record.times.record('short', 100_000, performance.now(), performance.now())
    expect(record.times.estimate('short', performance.now(), [])! <= 20).toEqual(true)
  })

  it('expected-wait counts other entries by report and gossip, and forgets old reports', () => {
    const record = upstream('a', 10)
    record.updateLoad({ boot_id: 'b', state: 'serving', running: 6, waiting: 2, capacity: 4, reported_at_ms: 0 }, performance.now())
    begin(record)
    expect(estimateOutstanding(record, performance.now())).toEqual(9)
    expect(Math.round(estimateOutstanding(record, performance.now() + 10_000))).toEqual(1)
    record.peerOutstanding = 3
    expect(Math.round(estimateOutstanding(record, performance.now() + 10_000))).toEqual(4)
  })

  it('expected-wait keeps a prefix on its upstream while the difference is small', () => {
    const candidates = ['a', 'b', 'c'].map((id) => upstream(id, 10))
    const balancer = createBalancer('expected-wait', seeded(), hasher)
    const [home] = Object.keys(shares(balancer, candidates, 'prefix'))
    expect(shares(balancer, candidates, 'prefix')).toEqual({ [home!]: 200 })
    const homeRecord = candidates.find((candidate) => candidate.id === home)!
    for (let request = 0; request < 10; request++) begin(homeRecord)
    expect(Object.keys(shares(balancer, candidates, 'prefix')).includes(home!)).toEqual(false)
  })

  it('expected-wait compares only two of a large set', () => {
    let draws = 0
    const random = (): number => { draws++; return 0.5 }
    const candidates = Array.from({ length: 600 }, (_, index) => upstream(`u${index}`, 10))
    createBalancer('expected-wait', random, hasher).pick(candidates, query)
    expect(draws).toEqual(4)
  })
})

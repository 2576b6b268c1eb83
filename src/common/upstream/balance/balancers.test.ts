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

/** Park-Miller generator with a fixed seed: returns the same sequence in each run. */
function createSeededRandom (): () => number {
  let state = 42
  return () => {
    state = state * 48_271 % 2_147_483_647
    return state / 2_147_483_647
  }
}

function createUpstream (id: string, unitMs: number): TrackedUpstream {
  const upstream = new TrackedUpstream({
    id, role: 'upstream', service: 's', address: '', failure_domain: 'f', state: 'live', incarnation: '1'
  })
  for (let index = 0; index < 20; index++) {
    upstream.times.record('short', unitMs, performance.now(), performance.now())
  }
  return upstream
}

function beginRequest (upstream: TrackedUpstream): void {
  upstream.inFlight.add({ size: 'short', units: 1, fingerprint: 'f', startedAtMs: performance.now() })
  upstream.outstanding = upstream.inFlight.size
}

function countPicks (balancer: IBalancer, candidates: Upstream[], prefixHash?: string): Record<string, number> {
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
    const candidates = ['a', 'b', 'c', 'd'].map((id) => createUpstream(id, 10))
    expect(Object.keys(countPicks(createBalancer('random', createSeededRandom(), hasher), candidates)).length).toEqual(4)
    expect(countPicks(createBalancer('round-robin', createSeededRandom(), hasher), candidates)).toEqual({ a: 50, b: 50, c: 50, d: 50 })
  })

  it('least-outstanding avoids the upstream with more requests in flight', () => {
    const candidates = ['a', 'b', 'c'].map((id) => createUpstream(id, 10))
    beginRequest(candidates[0]!)
    const counts = countPicks(createBalancer('least-outstanding', createSeededRandom(), hasher), candidates)
    expect(Object.keys(counts).sort()).toEqual(['b', 'c'])
  })

  it('expected-wait prefers the faster upstream until its load outweighs the speed', () => {
    const [fast, slow] = [createUpstream('fast', 10), createUpstream('slow', 20)]
    const balancer = createBalancer('expected-wait', createSeededRandom(), hasher)
    expect(countPicks(balancer, [fast, slow])).toEqual({ fast: 200 })
    for (let request = 0; request < 12; request++) beginRequest(fast)
    expect(countPicks(balancer, [fast, slow])).toEqual({ slow: 200 })
  })

  it('expected-wait avoids a stalled upstream before any of its requests completes', () => {
    const [stalled, other] = [createUpstream('stalled', 10), createUpstream('other', 12)]
    const balancer = createBalancer('expected-wait', createSeededRandom(), hasher)
    beginRequest(stalled)
    beginRequest(other)
    mock.timers.tick(100)
    // The other upstream has completed a later request, so its old one is merely long and no sign of a stall.
    other.times.record('short', 12, performance.now() - 12, performance.now())
    expect(countPicks(balancer, [stalled, other])).toEqual({ other: 200 })
  })

  it('expected-wait sends a short request to an upstream without long requests, even if it runs more requests', () => {
    const [busy, long] = [createUpstream('busy', 10), createUpstream('long', 10)]
    beginRequest(busy)
    beginRequest(busy)
    long.times.record('long', 500, performance.now(), performance.now())
    long.inFlight.add({ size: 'long', units: 1, fingerprint: 'f', startedAtMs: performance.now() })
    long.outstanding = 1
    long.outstandingLong = 1
    expect(countPicks(createBalancer('expected-wait', createSeededRandom(), hasher), [busy, long])).toEqual({ busy: 200 })
  })

  it('expected-wait tries a slow upstream again after it was idle', () => {
    const times = new ServiceTimes()
    const recordTimes = (unitMs: number): void => {
      for (let index = 0; index < 20; index++) times.record('short', unitMs, performance.now(), performance.now())
    }
    recordTimes(10)
    recordTimes(100)
    expect(times.estimate('short', performance.now(), [])! > 80).toEqual(true)
    mock.timers.tick(30_000)
    expect(times.estimate('short', performance.now(), [])! < 11).toEqual(true)
  })

  it('one outlier does not move the estimate by more than a bounded factor', () => {
    const upstream = createUpstream('a', 10)
    upstream.times.record('short', 100_000, performance.now(), performance.now())
    expect(upstream.times.estimate('short', performance.now(), [])! <= 20).toEqual(true)
  })

  it('expected-wait counts requests of other entries by load report and gossip, and ignores old reports', () => {
    const upstream = createUpstream('a', 10)
    upstream.updateLoad({ boot_id: 'b', state: 'serving', running: 6, waiting: 2, capacity: 4, reported_at_ms: 0 }, performance.now())
    beginRequest(upstream)
    expect(estimateOutstanding(upstream, performance.now())).toEqual(9)
    expect(Math.round(estimateOutstanding(upstream, performance.now() + 10_000))).toEqual(1)
    upstream.peerOutstanding = 3
    expect(Math.round(estimateOutstanding(upstream, performance.now() + 10_000))).toEqual(4)
  })

  it('expected-wait sends equal prefixes to one upstream while its wait is not much longer', () => {
    const candidates = ['a', 'b', 'c'].map((id) => createUpstream(id, 10))
    const balancer = createBalancer('expected-wait', createSeededRandom(), hasher)
    const [preferred] = Object.keys(countPicks(balancer, candidates, 'prefix'))
    expect(countPicks(balancer, candidates, 'prefix')).toEqual({ [preferred!]: 200 })
    const preferredUpstream = candidates.find((candidate) => candidate.id === preferred)!
    for (let request = 0; request < 10; request++) beginRequest(preferredUpstream)
    expect(Object.keys(countPicks(balancer, candidates, 'prefix')).includes(preferred!)).toEqual(false)
  })

  it('expected-wait compares only two of a large set', () => {
    let draws = 0
    const random = (): number => { draws++; return 0.5 }
    const candidates = Array.from({ length: 600 }, (_, index) => createUpstream(`u${index}`, 10))
    createBalancer('expected-wait', random, hasher).pick(candidates, query)
    expect(draws).toEqual(4)
  })
})

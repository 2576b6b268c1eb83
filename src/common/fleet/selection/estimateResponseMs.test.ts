import { describe, it } from 'node:test'
import { expect } from 'earl'
import { estimateResponseMs } from './estimateResponseMs.js'
import type { UpstreamKnowledge } from './UpstreamKnowledge.js'

const NOW_MS = 10_000
const IDLE: UpstreamKnowledge = { slots: 4, outstanding: 0, averageMs: 30, loadAverages: { total: 0, own: 0 }, excludedUntilMs: 0 }
const withLoad = (ageMs: number): UpstreamKnowledge => ({ ...IDLE, load: { running: 4, waiting: 2, slots: 4, slowdownFactor: 2, atMs: NOW_MS - ageMs } })

describe('estimateResponseMs', () => {
  it('is the average response time of an idle upstream', () => {
    expect(estimateResponseMs(IDLE, NOW_MS)).toEqual(30)
  })

  // Load: figures 0, 400 and 2,000 ms old. Guards against an outdated figure that keeps all processes from an idle server.
  it('ignores the slowdown and then the requests of a reading with its age', () => {
    const fresh = estimateResponseMs(withLoad(0), NOW_MS)
    const aged = estimateResponseMs(withLoad(400), NOW_MS)
    expect(fresh).toEqual(2 * aged)
    expect(aged).toBeGreaterThan(30)
    expect(estimateResponseMs(withLoad(2000), NOW_MS)).toEqual(30)
  })

  // Guards against an own request of unlimited weight, which would prefer a server many times slower to a second request here.
  it('counts each own request by its weight, at most as often as the upstream has slots', () => {
    const busy = { ...IDLE, outstanding: 1 }
    expect(estimateResponseMs(busy, NOW_MS, 3)).toBeGreaterThan(estimateResponseMs(busy, NOW_MS, 1))
    expect(estimateResponseMs(busy, NOW_MS, Number.POSITIVE_INFINITY)).toEqual(estimateResponseMs(busy, NOW_MS, 4))
    expect(estimateResponseMs(IDLE, NOW_MS, Number.POSITIVE_INFINITY)).toEqual(30)
  })
})

import { describe, it } from 'node:test'
import { expect } from 'earl'
import { estimateOwnRequestWeight } from './estimateOwnRequestWeight.js'
import type { LoadAverages } from './LoadAverages.js'
import { updateLoadAverages } from './updateLoadAverages.js'

/** Averages after many readings of the same kind. */
function averagesOf (requests: number, outstanding: number): LoadAverages {
  let averages: LoadAverages = { total: 0, own: 0 }
  for (let count = 0; count < 500; count++) averages = updateLoadAverages(averages, { running: requests, waiting: 0, slots: 6, slowdownFactor: 1 }, outstanding)
  return averages
}

describe('estimateOwnRequestWeight', () => {
  // Load: one process alone. Guards against a process that takes its own requests for a sign of others and leaves the fastest server too early.
  it('is 1 for the only process, before the first reading, and when own requests were sent after the reading', () => {
    expect(estimateOwnRequestWeight([averagesOf(4, 4)])).toEqual(1)
    expect(estimateOwnRequestWeight([averagesOf(5, 4)])).toEqual(1)
    expect(estimateOwnRequestWeight([averagesOf(0, 0), averagesOf(0, 0)])).toEqual(1)
    expect(estimateOwnRequestWeight([averagesOf(2, 4)])).toEqual(1)
    expect(estimateOwnRequestWeight([])).toEqual(1)
  })

  // Load: several processes on two servers. Guards against an estimate from one server, which swings with own bursts.
  it('is the ratio of all requests to the own ones over all upstreams', () => {
    const weight = estimateOwnRequestWeight([averagesOf(5, 1), averagesOf(7, 0)])
    expect(Math.abs(weight - 4)).toBeLessThan(0.01)
  })
})

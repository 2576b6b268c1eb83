import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Progress } from './Progress.js'
import { ServiceTimes } from './ServiceTimes.js'

/** A stream whose first chunk came at 0 and which then got a unit every `unitMs`. */
function stream (unitMs: number, untilMs: number): Progress {
  const progress = new Progress(0)
  for (let atMs = unitMs; atMs <= untilMs; atMs += unitMs) progress.add(1, atMs)
  return progress
}

describe('Progress', () => {
  it('measures the present pace and shows a stream that stopped', () => {
    const progress = stream(5, 200)
    expect([progress.recentMs(210), progress.meanMs(200)]).toEqual([5, 5])
    expect(progress.recentMs(700)).toEqual(500)
  })

  // Guards against new work on an upstream that became slow while none of its long requests has ended.
  it('raises the estimate of a slowed upstream before any request completes, and lowers it after', () => {
    const times = new ServiceTimes()
    for (let index = 0; index < 20; index++) times.record('long', 10, index, index, 5)
    const inFlight = (unitMs: number) => [{ size: 'long' as const, units: 1000, fingerprint: '', startedAtMs: 20, progress: stream(unitMs, 200) }]
    expect(times.estimate('long', 210, inFlight(5))).toEqual(10)
    expect(times.estimate('long', 210, inFlight(50))! > 60).toEqual(true)
    expect(times.estimate('long', 210, inFlight(1))! < 10).toEqual(true)
  })
})
